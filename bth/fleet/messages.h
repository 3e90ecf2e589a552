// The messages between the hosts of a fleet. Entry hosts send reports to their control host, which
// answers with updates. Control hosts relay to each other which entry hosts are attached to them
// and what the platform's list shows. No single message has to arrive: each is repeated, and later
// ones replace earlier ones.
//
//   auto bytes = encode(report{...});
//   if (auto decoded = decode(bytes)) { std::visit(handler, *decoded); }
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/dispatch/allowance.h"
#include "bth/dispatch/crash_ledger.h"
#include "bth/dispatch/load_board.h"
#include "bth/dispatch/target.h"
#include "bth/route/model.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bth::fleet {

// The number of changes applied to the agreed state; later states have a larger one.
using agreed_index = strong_id<struct agreed_index_tag, std::uint64_t>;

// A revision of the target catalog of one control host, valid for that host's incarnation only.
using catalog_revision = strong_id<struct catalog_revision_tag, std::uint64_t>;

struct entry_host {
    std::string name;
    // Where callers connect.
    endpoint caller_endpoint;
    std::string domain;
    bool ready{};
    // Time since the host was last seen.
    duration age{};
    // Whether the host reaches targets, as it says itself.
    bool reaches_targets{true};
    friend bool operator==(const entry_host&, const entry_host&) = default;
};

// An entry host that sends the requests of one that reaches no target.
struct relay_host {
    std::string name;
    std::string domain;
    friend bool operator==(const relay_host&, const relay_host&) = default;
};

struct control_host_info {
    std::string name;
    std::string domain;
    friend auto operator<=>(const control_host_info&, const control_host_info&) = default;
};

// The state of an entry host and the versions of the data that it holds.
struct report {
    entry_host host;
    route::config_version version;
    agreed_index index;
    catalog_revision targets;
    // The incarnation of the control host for which `targets` is valid.
    incarnation control_incarnation;
    // Whether the host stays attached even if it learns of a nearer control host, since it has been
    // attached to the nearest one before.
    bool stays{};
    // News on crashes that other hosts may lack.
    dispatch::crash_news crashes{};
    // The requests of customers at this host.
    std::vector<dispatch::customer_usage> usage{};
    // Loads that targets reported to this host.
    std::vector<dispatch::told_load> loads{};
};

// The changes of a catalog since a revision, or the full catalog.
struct catalog_delta {
    // Whether `changed` holds all targets and replaces all earlier ones.
    bool is_full{};
    catalog_revision revision;
    std::vector<dispatch::target_info> changed;
    std::vector<std::string> removed;
    friend bool operator==(const catalog_delta&, const catalog_delta&) = default;
};

// The data that an entry host needs, as far as it doesn't hold it yet.
struct update {
    // The incarnation of the sending control host.
    incarnation incarnation_number;
    // Whether the control host is in contact with the others: it takes part in the group under a
    // leader that it hears, holds what the others hold, and has a recent reading of the platform's
    // list. A control host that isn't is called isolated.
    bool in_contact{};
    route::config_version version;
    agreed_index index;
    // The text of the configuration with version `version`; empty if the entry host already holds
    // it.
    std::string text;
    // The evacuated failure domains, unless the entry host holds a newer set.
    std::optional<std::set<std::string>> evacuated;
    catalog_delta targets;
    std::vector<control_host_info> control_hosts;
    // The number of entry hosts in service, and the rank of the recipient among them, ordered by
    // name, from 0.
    std::uint32_t entry_count{};
    std::uint32_t entry_rank{};
    // The entry hosts in the recipient's region, unless they were sent before.
    std::optional<std::vector<entry_host>> entry_hosts;
    // Whether the sender follows the group, and the recipient holds with this update all that was
    // agreed on, apart from what is on its way.
    bool state_is_current{};
    // For a recipient that reaches no target: entry hosts that do.
    std::vector<relay_host> relay_hosts{};
    // News on crashes that the recipient may lack.
    dispatch::crash_news crashes{};
    // The customers that demand much of their allowance, unless the sender doesn't know all demand.
    std::optional<std::vector<dispatch::customer_pressure>> pressures{};
    // Loads of targets that the recipient may lack.
    std::vector<dispatch::told_load> loads{};
};

// The state that a control host sends to the others.
struct relay {
    control_host_info host;
    // The entry hosts attached to the sender.
    std::vector<entry_host> entry_hosts;
    // Age, digest and, if it changed, content of the sender's reading of the platform's list. The
    // digest is 0 if the sender has no reading.
    duration list_age{};
    std::uint64_t list_digest{};
    std::optional<std::vector<dispatch::target_info>> list;
    // What the sender holds of the agreed state; 0 if it doesn't say so.
    agreed_index index;
    // News on crashes from the attached entry hosts; all that are known if the recipient has just
    // connected.
    dispatch::crash_news crashes{};
    // The requests of customers at the attached entry hosts.
    std::vector<dispatch::customer_usage> usage{};
    // Loads that targets reported to the attached entry hosts.
    std::vector<dispatch::told_load> loads{};
};

// A command that replaces the configuration in the agreed state.
struct set_configuration {
    route::config_version version;
    std::string text;
};
// A command that changes whether a failure domain is evacuated, in the agreed state.
struct set_evacuation {
    std::string domain;
    bool evacuated{};
};

// The state that the control hosts agree on.
struct agreed_state {
    route::config_version version;
    std::string text;
    std::set<std::string> evacuated;
    agreed_index index;
    friend bool operator==(const agreed_state&, const agreed_state&) = default;
};

using message =
    std::variant<report, update, relay, set_configuration, set_evacuation, agreed_state>;

std::string encode(const message& to_encode);

// Encodes an update from two parts. `shared` is an encoded update of which only the text, the
// targets and the entry hosts count; many recipients get the same, so it is encoded once for all of
// them. `own` holds everything else, and the revision of the targets. Decoding joins the parts.
std::string encode_parts(std::string_view shared, const update& own);

// Returns nothing if the bytes aren't a well-formed message.
std::optional<message> decode(std::string_view bytes);

} // namespace bth::fleet
