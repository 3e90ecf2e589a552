// The tables of a run: callers, requests, their visits at entry hosts, and attempts at targets or
// at other entry hosts.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/bench/event_queue.h"
#include "bth/steering/events.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace bth::bench {

inline constexpr std::uint32_t no_row = UINT32_MAX;
// Callers of one home, service and class that each keep a look-up answer.
inline constexpr std::size_t caches_per_generator = 4;

struct cached_lookup {
    std::vector<host_id> hosts;
    time_point expires;
};

// The callers of one home, service and class.
struct generator {
    domain_id home;
    service_id service;
    class_id caller_class;
    // Requests per second at full load.
    double full_rate{};
    std::array<cached_lookup, caches_per_generator> caches;
    std::uint32_t next_cache{};
};

enum class final_state : std::uint8_t { open, served, refused, lost };

struct request_row {
    service_id service;
    class_id caller_class;
    domain_id home;
    std::uint32_t cache{};
    // The first request of a chain of resends; the request itself if it is the first.
    std::uint32_t origin{};
    std::uint32_t visit{no_row};
    std::uint32_t resends_left{};
    std::uint32_t runs{};
    std::uint32_t hosts_tried{};
    time_point began;
    time_point deadline;
    bool repeatable{};
    // Whether a caller made it, rather than a target for its dependency.
    bool external{};
    bool measured{};
    bool said_not_run{};
    final_state state{final_state::open};
};

// A request at an entry host. Its row number is the request_id that the host's decider sees.
struct visit_row {
    std::uint32_t request{};
    host_id host;
    // The attempt of another host that brought it; no_row if the caller did.
    std::uint32_t parent{no_row};
    // The attempt under way.
    std::uint32_t attempt{no_row};
    std::uint8_t hops{};
    bool retry{};
    // Since when it has waited for the host to decide.
    time_point waiting_since;
    bool arrived_yet{};
    bool over{};
    // Whether it reached the host across a boundary of failure domains.
    bool foreign{};
    // How it ended, on the way back to the caller.
    steering::refuse refusal;
    final_state state{final_state::open};
};

struct attempt_row {
    std::uint32_t visit{};
    std::optional<target_id> target;
    std::uint32_t peer_visit{no_row};
    std::uint32_t target_life{};
    // No result may be given any more.
    bool over{};
    // At the target, waiting or running.
    bool at_target{};
    steering::attempt_result result;
};

} // namespace bth::bench
