// How a stand-in target behaves; read from JSON, at the start or while it runs.
//
//   findings found;
//   auto how = read_behaviour("behaviour.json", text, found);
#pragma once

#include "bth/base/finding.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace bth::standins {

// What a target does with a request that finds all slots in use.
enum class overload_policy : std::uint8_t {
    share_time,  // Serves it, and everything takes longer in proportion.
    shed_marked, // Refuses it and says that it did not run it.
    shed_bare,   // Answers 503 and says nothing of whether it ran.
};

// What a target says of its load.
enum class report_policy : std::uint8_t { true_load, low, high, stuck, none };

struct behaviour {
    overload_policy overload{overload_policy::share_time};
    report_policy report{report_policy::true_load};
    // The first answers take `cold_factor` times as long, falling to 1 over `cold_answers` answers.
    std::uint32_t cold_answers{};
    double cold_factor{1.0};
    // Every so many-th answer is late, or cut in the middle; 0 is never.
    std::uint32_t late_every{};
    std::chrono::milliseconds late_by{};
    std::uint32_t cut_every{};
    // Every so many-th request is run and then answered by status 500; 0 is never.
    std::uint32_t fail_every{};
    bool leaving{};
};

// The behaviour that `text` describes; keys that are missing have their default. Nothing is
// returned if `text` has a finding.
std::optional<behaviour> read_behaviour(const std::string& file, const std::string& text,
                                        findings& found);

} // namespace bth::standins
