// The core's notion of time: points that the shell passes in, never a clock that is read.
//
//   time_point now{};
//   now += std::chrono::milliseconds{5};
#pragma once

#include <chrono>
#include <cstdint>

namespace bth {

using duration = std::chrono::nanoseconds;

// Monotonic time within one process. It has no now(): the shell reads std::chrono::steady_clock and
// a test sets the time itself.
struct monotonic_clock {
    using duration = bth::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};
using time_point = monotonic_clock::time_point;

// Wall time as operators write it, in milliseconds since 1970-01-01 UTC. It only starts announced
// drains; no lease is judged by it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Both clocks, read together.
struct clock_reading {
    time_point monotonic;
    wall_time wall;
};

} // namespace bth
