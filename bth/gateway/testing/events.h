// The log of all tests of a binary: the logging library can't be initialised a second time.
#pragma once

#include "bth/shell/event_log.h"

namespace bth::gateway::testing {

inline shell::event_log& events()
{
    static shell::event_log log{shell::event_log_settings{}};
    return log;
}

} // namespace bth::gateway::testing
