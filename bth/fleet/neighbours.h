// The entry hosts of a region as one of them knows them.
//
//   neighbour_table table;
//   table.hear(now, named_hosts);
//   if (table.confirm(in_contact)) { use(table.hosts()); }
//   connect_to(table.to_connect(now));
//
// A control host without a leader knows only a part of the entry hosts. What it names counts once
// it is in contact with the others; and a host that isn't named any more stays connected for a
// while, since requests handed to it may be under way.
#pragma once

#include "bth/fleet/messages.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bth::fleet {

class neighbour_table {
public:
    // Another control host answers from now on: what the last one named is void.
    void change_source() { this->named.reset(); }

    void hear(std::vector<entry_host> rows) { this->named = std::move(rows); }

    // Takes what was named last, if the control host is in contact or nothing is known yet. True if
    // that changed something.
    bool confirm(bool in_contact)
    {
        const bool counts = in_contact || this->present.empty();
        if (!this->named || !counts || *this->named == this->present) {
            return false;
        }
        this->present = *this->named;
        return true;
    }

    const std::vector<entry_host>& hosts() const { return this->present; }

    // The hosts to be connected with: those present and those that were so lately.
    std::vector<std::string> to_connect(time_point now)
    {
        // Longer than any request is under way.
        constexpr std::chrono::seconds retained{15};
        for (const auto& each : this->present) {
            this->last_present[each.name] = now;
        }
        std::erase_if(this->last_present,
                      [oldest = now - retained](const auto& each) { return each.second < oldest; });
        std::vector<std::string> out;
        out.reserve(this->last_present.size());
        for (const auto& [name, since] : this->last_present) {
            out.push_back(name);
        }
        return out;
    }

private:
    std::optional<std::vector<entry_host>> named;
    std::vector<entry_host> present;
    std::map<std::string, time_point> last_present;
};

} // namespace bth::fleet
