// Structured log lines: one line for each decision, as `key=value` pairs, on standard output.
//
//   event_log events{event_log_settings{}};
//   events.write(event{"refused"}.with("request", id).with("reason", reason).with("age_ms", age));
//
// The volume is bounded: lines over the limit, and lines that a slow reader doesn't take, are left
// out and counted, and a line with the count follows, at most one a second. Nothing here waits for
// the reader.
#pragma once

#include "bth/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

namespace bth::shell {

// One line in the making. Values with blanks, quotes or equal signs are quoted.
class event {
public:
    explicit event(std::string_view name) : line{"event="} { this->line += name; }

    event&& with(std::string_view key, std::string_view value) &&;
    event&& with(std::string_view key, const char* value) &&
    {
        return std::move(*this).with(key, std::string_view{value});
    }
    template <class Number>
    requires std::is_arithmetic_v<Number> event && with(std::string_view key, Number value) && {
        return std::move(*this).with(key, std::string_view{number(value)});
    }
    // A duration, in milliseconds.
    event&& with(std::string_view key, duration value) &&;

    const std::string& text() const { return this->line; }

private:
    template <class Number>
    static std::string number(Number value)
    {
        if constexpr (std::is_same_v<Number, bool>) {
            return value ? "true" : "false";
        }
        else {
            return std::to_string(value);
        }
    }

    std::string line;
};

struct event_log_settings {
    // Lines per second that are written on average, and at once. An entry host of the smallest size
    // takes some 30 requests a second; a line costs 2.5 microseconds
    // (docs/measurements/platform.md).
    double lines_per_second{60};
    double burst{200};
};

// Writes lines to standard output as far as it takes them at once.
class bounded_stdout_appender : public log4cplus::Appender {
public:
    ~bounded_stdout_appender() override { this->destructorImpl(); }

    void close() override { this->closed = true; }

    std::uint64_t lost() const { return this->lines_lost; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& logged) override;

private:
    std::uint64_t lines_lost{};
};

// How much a line matters when there are too many.
enum class event_weight : std::uint8_t {
    usual,     // One in many is written.
    notable,   // Written while the volume allows.
    essential, // Always written: starts, stops, lost and regained dependencies.
};

class event_log {
public:
    explicit event_log(event_log_settings settings);

    void write(const event& what, event_weight weight = event_weight::notable);
    // Whether a usual line would be written now; lets callers skip making it.
    bool takes_usual();

    std::uint64_t left_out() const { return this->total_left_out; }

private:
    bool take_token(time_point now);
    void emit(const std::string& line);

    log4cplus::Initializer initializer;
    event_log_settings settings;
    log4cplus::helpers::SharedObjectPtr<bounded_stdout_appender> appender;
    log4cplus::Logger logger;
    double tokens;
    time_point filled;
    std::uint64_t usual_seen{};
    std::uint64_t pending_left_out{};
    time_point summed;
    std::uint64_t total_left_out{};
};

} // namespace bth::shell
