// The exit codes of bthctl. Scripts rely on them; see docs/operators/bthctl.md.
//
//   return to_int(exit_code::unknown);
#pragma once

#include "bth/shell/program.h"

namespace bth::ctl {

enum class exit_code : int {
    ok = shell::exit_ok,
    // The command itself failed, such as a file that can't be read.
    failed = shell::exit_failure,
    // Wrong options.
    usage = shell::exit_usage,
    // Another edit was first, or the edit isn't one that can be accepted.
    not_accepted = 3,
    // The text has findings; nothing was accepted.
    findings = 4,
    // The edit may or may not be accepted: resend with the same id.
    unknown = 5,
    // No control host could decide; nothing was accepted.
    unavailable = 6,
    // Accepted, but some hosts haven't confirmed it in the time given.
    not_everywhere = 7,
};

constexpr int to_int(exit_code code)
{
    return static_cast<int>(code);
}

} // namespace bth::ctl
