// Delivers the steering core's commands for one request to the coroutine that serves it.
//
//   auto commands = std::make_shared<request_commands>(executor);
//   driver.arrive(arrival, commands);
//   while (auto next = co_await commands->next()) { ... execute *next ... }
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/entry/async_condition.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace bth::entry {

// Commands hold copies of names and addresses from the configuration, as the configuration may
// change while a command is executed.

// Sends the request to a target.
struct target_attempt_command {
    std::string target;
    endpoint where;
    // The maximum number of connections to the target.
    std::uint32_t connections{};
    time_point deadline;
};

// Forwards the request to another entry host.
struct forward_command {
    std::string host;
    time_point deadline;
    // Become the fields of the same names in the receiving host's steering::arrival.
    std::uint8_t hops{};
    bool retry{};
};

// Refuses the request.
struct refusal_command {
    refusal_reason reason{refusal_reason::no_target};
    run_state run{run_state::no};
    duration retry_after{};
};

using command = std::variant<target_attempt_command, forward_command, refusal_command>;

// Why an attempt is stopped before it has completed.
enum class stop_cause : std::uint8_t {
    caller_disconnected, // The caller no longer waits for the response.
    core,                // The steering core cancelled the request.
    deadline,            // The attempt's deadline has passed.
};

class request_commands {
public:
    explicit request_commands(const boost::asio::any_io_executor& executor) : changed{executor} {}

    // Sets the next command; called on behalf of the steering core.
    void push(command next)
    {
        this->pending = std::move(next);
        this->changed.notify();
    }

    // Interrupts the attempt in flight. Unless the cause is the attempt's deadline, next() returns
    // nothing from then on. The first cause other than a deadline is kept.
    void stop(stop_cause new_cause)
    {
        if (this->cause != stop_cause::caller_disconnected && this->cause != stop_cause::core) {
            this->cause = new_cause;
        }
        this->changed.notify();
        if (this->interrupt_attempt) {
            this->interrupt_attempt();
        }
    }

    // Waits for the next command. Returns nothing once the request is cancelled.
    boost::asio::awaitable<std::optional<command>> next()
    {
        if (this->cause == stop_cause::deadline) {
            this->cause.reset();
        }
        while (!this->pending && !this->cause) {
            co_await this->changed.wait();
        }
        if (this->cause) {
            co_return std::nullopt;
        }
        co_return std::exchange(this->pending, std::nullopt);
    }

    // Why the latest attempt or the request was stopped; nothing if it wasn't.
    std::optional<stop_cause> stopped() const { return this->cause; }

    // Closes the connection or stream of the attempt in flight; empty between attempts.
    std::function<void()> interrupt_attempt;

private:
    std::optional<command> pending;
    std::optional<stop_cause> cause;
    async_condition changed;
};

} // namespace bth::entry
