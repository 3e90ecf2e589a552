#include "bth/bench/plan.h"

#include <array>

namespace bth::bench {

std::string_view to_string(change_kind kind)
{
    static constexpr std::array<std::string_view, change_kind_count> names{
        "domain_load",   "domain_down",  "domain_up",       "host_kill",       "host_start",
        "host_freeze",   "host_thaw",    "regions_cut",     "regions_heal",    "target_kill",
        "target_start",  "target_cold",  "target_reports",  "target_slowdown", "target_breaks",
        "target_leaves", "drain_domain", "platform_silence"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace bth::bench
