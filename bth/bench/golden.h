// Whole sessions as text: what callers, entry hosts and targets do, line by line, made by the
// steering core under virtual time. bth/bench/golden holds them; a test compares to the byte, and
// scripts/renew-goldens writes them anew.
#pragma once

#include "bth/bench/plan.h"

#include <string>
#include <vector>

namespace bth::bench {

// The plans of the sessions: few requests each, on the deployment "ogunleye".
std::vector<run_plan> golden_sessions();

// The text of a session.
std::string play_session(const run_plan& plan);

// Where the text of a session is kept, from the source folder.
std::string golden_path(const run_plan& plan);

} // namespace bth::bench
