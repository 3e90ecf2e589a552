// Selects the entry hosts that send the requests of one that reaches no target.
//
//   own.relay_hosts = select_relay_hosts(recipient, hosts_in_service, regions);
//
// Hosts of the recipient's region come before others, so that requests and their bodies stay there
// if they can. Which of them are selected differs by recipient (rendezvous hashing), so that the
// hosts of a failure domain that are all cut off spread their requests over the others.
#pragma once

#include "bth/dispatch/target_registry.h"
#include "bth/fleet/messages.h"

#include <cstddef>
#include <vector>

namespace bth::fleet {

// The hosts that one recipient is told. One of them may fail, and together they must bear what the
// recipient takes.
inline constexpr std::size_t max_relay_hosts = 4;

std::vector<relay_host> select_relay_hosts(const entry_host& recipient,
                                           const std::vector<entry_host>& in_service,
                                           const dispatch::domain_regions& regions);

} // namespace bth::fleet
