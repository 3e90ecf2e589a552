// Logging set up from settings. Each part of a program logs through a logger of its own name, which
// stands in front of every line as a fixed prefix.
//
//   logging_session logging{settings};            // first in main
//   auto log = log4cplus::Logger::getInstance("entry.http");
//   LOG4CPLUS_INFO(log, "Listening on " << to_string(where) << ".");
#pragma once

#include "bth/config/json_reader.h"

#include <string>

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace bth::shell {

struct log_settings {
    // One of TRACE, DEBUG, INFO, WARN, ERROR, OFF.
    std::string level{"INFO"};
    // The file that lines are appended to; standard error if empty.
    std::string file;
};

// Reads the optional object "log" of a program's settings.
log_settings read_log_settings(config::json_object& settings, const config::json_document& document,
                               findings& found);

// Logging is on while this object lives. Lines are written by a thread of their own, so that a slow
// disk doesn't hold up requests.
class logging_session {
public:
    explicit logging_session(const log_settings& settings);

private:
    log4cplus::Initializer initializer;
};

} // namespace bth::shell
