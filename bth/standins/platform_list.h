// The stand-in platform's list of live and leaving hosts and targets; changes show after a lag.
//
//   platform_state state{model, std::chrono::seconds{2}};
//   state.set("entry-a", presence::leaving, now);
//   std::string json = state.list_at(now);
#pragma once

#include "bth/base/time.h"
#include "bth/config/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bth::standins {

enum class presence : std::uint8_t { live, leaving, gone };

class platform_state {
public:
    // Everything in the model is live; a change shows `lag` after it was made.
    platform_state(const config::model& model, duration lag);

    // Changes one host or target; false if nothing has that name.
    bool set(const std::string& name, presence now_is, time_point now);

    // The list as it shows at `now`, as JSON.
    std::string list_at(time_point now);

private:
    struct row {
        bool is_host{};
        presence shown{presence::live};
    };
    struct change {
        time_point shows_at;
        std::string name;
        presence now_is{presence::live};
    };

    void show_changes(time_point now);

    duration lag;
    std::map<std::string, row> rows;
    std::vector<change> changes;
};

} // namespace bth::standins
