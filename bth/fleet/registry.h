// The entry hosts in service, as the control hosts hear them, and which of them a caller is told to
// use. Each control host states the entry hosts that report to it; what one says replaces what it
// said before, and is forgotten when it falls silent.
//
//   host_registry registry{regions};
//   registry.take("control-a", rows, now);
//   auto answer = registry.resolve("north", now);
#pragma once

#include "bth/dispatch/board.h"
#include "bth/fleet/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bth::fleet {

class host_registry {
public:
    explicit host_registry(dispatch::domain_regions regions) : regions{std::move(regions)} {}

    // Takes what the control host `source` says of the entry hosts that it serves.
    void take(const std::string& source, const std::vector<entry_host>& rows, time_point now);
    void forget(const std::string& source) { this->sources.erase(source); }

    // The entry hosts that were heard lately, one row each, by name.
    std::vector<entry_host> in_service(time_point now) const;

    // Where a caller in `region` should connect: the ready hosts of its region, else all ready
    // ones. Empty if none is known.
    std::vector<endpoint> resolve(std::string_view region, time_point now) const;

private:
    struct heard_host {
        entry_host host;
        time_point heard;
    };

    dispatch::domain_regions regions;
    std::map<std::string, std::vector<heard_host>> sources;
};

} // namespace bth::fleet
