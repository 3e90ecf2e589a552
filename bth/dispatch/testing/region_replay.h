// Replays the load of one region against many entry hosts under virtual time: each host places
// requests by its own registry, and knows of the others only what targets report in their answers,
// to this host or, if told, to any.
//
//   region_load load;
//   load.requests_per_second = 800;
//   const auto result = replay(load);
//   CHECK(result.share_in_time() > 0.9);
//
// A target works on as many requests as it has slots, queues some more and sheds the rest. Its work
// is shorter for an object that it has completed a request for recently.
#pragma once

#include "bth/dispatch/placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bth::dispatch::testing {

struct region_load {
    std::size_t hosts{90};
    std::size_t targets{67};
    std::uint32_t slots{3};
    std::size_t queue{9};
    // Objects that a target is warm for.
    std::size_t warm_objects{24};
    std::size_t objects{233};
    double requests_per_second{336};
    // Requests per second from `surge_from` on.
    double surge_requests_per_second{336};
    duration surge_from{};
    duration length{std::chrono::seconds{12}};
    fractional_ms warm_work{408};
    fractional_ms cold_work{1632};
    fractional_ms objective{800};
    fractional_ms timeout{2000};
    std::uint64_t seed{1};
    // The first targets, whose work takes `slow_factor` times as long from `slow_from` on.
    std::size_t slow_targets{};
    double slow_factor{1};
    duration slow_from{};
    // After which time all hosts are told what a target reported to one of them; never if 0.
    duration told_after{};
};

struct replay_second {
    std::size_t asked{};
    std::size_t in_time{};
    std::size_t late{};
    std::size_t refused{};
    std::size_t shed{};
};

struct replay_result {
    std::vector<replay_second> seconds;
    // The most requests that one target ran, relative to the mean of all.
    double busiest_to_mean{};

    // The share of the requests of the seconds from `first` on that were answered in time.
    double share_in_time(std::size_t first = 0) const;
};

replay_result replay(const region_load& load);

} // namespace bth::dispatch::testing
