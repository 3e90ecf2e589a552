// The entry hosts in service, as the control hosts report them to each other, and the ones at which
// a caller should connect. Each control host reports the entry hosts attached to it. A report
// replaces the previous one from the same control host, and its hosts expire if no further report
// arrives.
//
//   entry_host_registry registry{regions};
//   registry.record_hosts("control-a", rows, now);
//   auto endpoints = registry.resolve("north", now, 64, turn++);
#pragma once

#include "bth/dispatch/target_registry.h"
#include "bth/fleet/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bth::fleet {

class entry_host_registry {
public:
    explicit entry_host_registry(dispatch::domain_regions regions) : regions{std::move(regions)} {}

    // Replaces the entry hosts that the control host `source` reported. The `age` of each row is
    // the time since that host was last seen.
    void record_hosts(const std::string& source, const std::vector<entry_host>& rows,
                      time_point now);
    // Removes all entry hosts that were reported by `source`.
    void forget(const std::string& source) { this->hosts_by_source.erase(source); }

    // Returns the entry hosts that were seen recently, one row each, ordered by name.
    std::vector<entry_host> in_service(time_point now) const;

    // Returns where a caller in `region` should connect: at most `limit` ready hosts of that
    // region. If less than half of a region's part of the ready hosts is left there, as after the
    // loss of a failure domain or while its hosts restart, ready hosts of other regions are added
    // up to that part, so that the callers of a whole region don't overload the few hosts. Empty if
    // no ready host is known. Hosts that reach no target are left out while half of the region's
    // ready hosts reach some.
    //
    // `turn` is a number that differs from one answer to the next. A region may have more hosts
    // than an answer names, and callers keep an answer for a while, so each answer begins with
    // another host.
    std::vector<endpoint> resolve(std::string_view region, time_point now, std::size_t limit,
                                  std::size_t turn) const;

private:
    struct seen_host {
        entry_host host;
        time_point last_seen;
    };

    std::size_t region_count() const;

    dispatch::domain_regions regions;
    std::map<std::string, std::vector<seen_host>> hosts_by_source;
};

} // namespace bth::fleet
