#include "bth/shell/event_log.h"

#include "bth/shell/net.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace bth::shell {

namespace {

// A pipe that is ready takes this many bytes at once (POSIX: at least PIPE_BUF).
constexpr std::size_t longest_line = 4000;
// Of the usual lines, one in this many is written.
constexpr std::uint64_t usual_sample = 64;

// How often it is told what was left out: lines about lines would themselves be a flood.
constexpr std::chrono::seconds sum_interval{1};

constexpr const char* event_logger_name = "event";

bool ready_for_a_line()
{
    pollfd each{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&each, 1, 0) == 1 && (each.revents & POLLOUT) != 0;
}

std::string wall_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::array<char, 40> text{};
    constexpr long ns_per_ms = 1'000'000;
    const int size = std::snprintf(text.data(), text.size(), "%lld.%03ld",
                                   static_cast<long long>(now.tv_sec), now.tv_nsec / ns_per_ms);
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

event&& event::with(std::string_view key, std::string_view value) &&
{
    this->line += ' ';
    this->line += key;
    this->line += '=';
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos) {
        this->line += value;
        return std::move(*this);
    }
    this->line += '"';
    for (const char each : value) {
        if (each == '"' || each == '\\') {
            this->line += '\\';
        }
        this->line += each < ' ' ? ' ' : each;
    }
    this->line += '"';
    return std::move(*this);
}

event&& event::with(std::string_view key, duration value) &&
{
    std::array<char, 32> text{};
    const double ms = std::chrono::duration<double, std::milli>(value).count();
    const int size = std::snprintf(text.data(), text.size(), "%.1f", ms);
    return std::move(*this).with(key,
                                 std::string_view{text.data(), static_cast<std::size_t>(size)});
}

void bounded_stdout_appender::append(const log4cplus::spi::InternalLoggingEvent& logged)
{
    std::string line = "t=" + wall_time() + " ";
    if (logged.getLoggerName() == event_logger_name) {
        line += logged.getMessage();
    }
    else {
        line += event{"component"}
                    .with("part", logged.getLoggerName())
                    .with("text", logged.getMessage())
                    .text();
    }
    line.resize(std::min(line.size(), longest_line));
    line += '\n';
    if (!ready_for_a_line() ||
        ::write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        ++this->lines_lost;
    }
}

event_log::event_log(event_log_settings settings)
    : settings{settings}, appender{new bounded_stdout_appender},
      logger{log4cplus::Logger::getInstance(event_logger_name)}, tokens{settings.burst},
      filled{monotonic_now()}
{
    this->logger.setAdditivity(false);
    this->logger.removeAllAppenders();
    this->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    this->logger.addAppender(log4cplus::SharedAppenderPtr{this->appender.get()});
    // Parts that log sentences are heard only when something is wrong.
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.setLogLevel(log4cplus::WARN_LOG_LEVEL);
    root.addAppender(log4cplus::SharedAppenderPtr{this->appender.get()});
}

bool event_log::take_token(time_point now)
{
    const std::chrono::duration<double> passed = now - this->filled;
    this->filled = now;
    this->tokens = std::min(this->settings.burst,
                            this->tokens + passed.count() * this->settings.lines_per_second);
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

bool event_log::takes_usual()
{
    return this->usual_seen++ % usual_sample == 0;
}

void event_log::write(const event& what, event_weight weight)
{
    const auto now = monotonic_now();
    if (!this->take_token(now) && weight != event_weight::essential) {
        ++this->pending_left_out;
        ++this->total_left_out;
        return;
    }
    const bool is_essential = weight == event_weight::essential;
    if (this->pending_left_out > 0 && (is_essential || now - this->summed >= sum_interval)) {
        this->emit(event{"lines_left_out"}.with("count", this->pending_left_out).text());
        this->pending_left_out = 0;
        this->summed = now;
    }
    this->emit(what.text());
}

void event_log::emit(const std::string& line)
{
    this->logger.log(log4cplus::INFO_LOG_LEVEL, line);
}

} // namespace bth::shell
