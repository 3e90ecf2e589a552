#include "bth/shell/log.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>

namespace bth::shell {

namespace {

constexpr std::array<std::string_view, 6> known_levels{"TRACE", "DEBUG", "INFO",
                                                       "WARN",  "ERROR", "OFF"};
constexpr unsigned queued_lines = 4096;

log4cplus::SharedAppenderPtr make_appender(const log_settings& settings)
{
    constexpr bool log_to_standard_error = true;
    constexpr bool flush_each_line = true;
    if (settings.file.empty()) {
        return log4cplus::SharedAppenderPtr{
            new log4cplus::ConsoleAppender(log_to_standard_error, flush_each_line)};
    }
    return log4cplus::SharedAppenderPtr{
        new log4cplus::FileAppender(settings.file, std::ios_base::app, flush_each_line)};
}

} // namespace

log_settings read_log_settings(config::json_object& settings, const config::json_document& document,
                               findings& found)
{
    log_settings out;
    const Json::Value* value = settings.optional_value("log");
    if (value == nullptr) {
        return out;
    }
    config::json_object at{*value, document, found};
    out.level = at.string_or("level", out.level);
    if (std::find(known_levels.begin(), known_levels.end(), out.level) == known_levels.end()) {
        at.report("level", "wrong value of \"level\"",
                  "one of: TRACE, DEBUG, INFO, WARN, ERROR, OFF");
    }
    out.file = at.string_or("file", "");
    at.finish();
    return out;
}

logging_session::logging_session(const log_settings& settings)
{
    auto appender = make_appender(settings);
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(settings.level));
    root.addAppender(
        log4cplus::SharedAppenderPtr{new log4cplus::AsyncAppender(appender, queued_lines)});
}

} // namespace bth::shell
