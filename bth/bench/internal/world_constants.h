// The settings of bth::bench::world that no plan changes.
#pragma once

#include "bth/base/time.h"
#include "bth/base/units.h"

#include <array>
#include <cstdint>

namespace bth::bench {

inline constexpr duration sample_interval = std::chrono::milliseconds{100};
inline constexpr duration report_interval = std::chrono::milliseconds{250};
inline constexpr duration platform_interval = std::chrono::seconds{1};
// How far the platform's list is behind, in its intervals.
inline constexpr std::size_t platform_lag = 3;
// How long answers may still come after the last request.
inline constexpr duration settle_time = std::chrono::seconds{4};
inline constexpr wall_time wall_begin{std::chrono::milliseconds{1'800'000'000'000}};
// What callers of each class make of a service's load, by class.
inline constexpr std::array<double, 3> class_parts{0.2, 0.3, 0.5};

// The share of callers' requests that may not be repeated.
inline constexpr double not_repeatable_part = 0.1;
// How long past its deadline a caller waits for the final answer.
inline constexpr duration caller_patience = std::chrono::milliseconds{500};
// How often callers without load look whether there is some.
inline constexpr duration idle_interval = std::chrono::milliseconds{50};
// The detail of a caller_next that only draws the time of the first request.
inline constexpr std::uint32_t begins = 1;
// Entry hosts that a caller tries to connect to for one request.
inline constexpr std::uint32_t most_hosts_tried = 4;

// The longest service time, in usual ones.
inline constexpr double longest_service = 6.0;

// How long a cut stays unnoticed by the connections across it.
inline constexpr duration cut_noticed_after = std::chrono::seconds{2};
// How long an operators' edit takes to reach a host.
inline constexpr duration edit_delay = std::chrono::milliseconds{200};
inline constexpr duration late_edit_delay = std::chrono::seconds{10};

// Bytes of a message between entry hosts, and of a refusal.
inline constexpr byte_count message_bytes = 120;

} // namespace bth::bench
