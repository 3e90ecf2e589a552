// What the steering core orders for one request, on its way to the coroutine that serves it.
//
//   auto orders = std::make_shared<request_orders>(executor);
//   driver.arrive(arrival, orders);
//   while (auto next = co_await orders->next()) { ... carry it out ... }
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

// Rows are named by value: the configuration may change while an order is carried out.
struct target_order {
    std::string target;
    endpoint where;
    std::uint32_t connections{};
    time_point deadline;
};

struct peer_order {
    std::string host;
    time_point deadline;
    // The fields of the same name of the arrival there.
    std::uint8_t hops{};
    bool retry{};
};

struct refusal_order {
    refusal_reason reason{refusal_reason::no_target};
    run_state run{run_state::no};
    duration retry_after{};
};

using order = std::variant<target_order, peer_order, refusal_order>;

// Why a try is stopped before its end.
enum class stop_cause : std::uint8_t {
    caller_gone, // Nobody waits for the answer.
    core,        // The core dropped the request.
    deadline,    // The time of the try is over.
};

class request_orders {
public:
    explicit request_orders(const boost::asio::any_io_executor& executor) : changed{executor} {}

    // The core's side.
    void push(order next)
    {
        this->waiting = std::move(next);
        this->changed.notify();
    }

    // Stops the try under way, and ends next() unless only the try's time is over.
    void stop(stop_cause why)
    {
        if (this->cause != stop_cause::caller_gone && this->cause != stop_cause::core) {
            this->cause = why;
        }
        this->changed.notify();
        if (this->stop_try) {
            this->stop_try();
        }
    }

    // The next order, or nothing once the request is dropped.
    boost::asio::awaitable<std::optional<order>> next()
    {
        if (this->cause == stop_cause::deadline) {
            this->cause.reset();
        }
        while (!this->waiting && !this->cause) {
            co_await this->changed.wait();
        }
        if (this->cause) {
            co_return std::nullopt;
        }
        co_return std::exchange(this->waiting, std::nullopt);
    }

    std::optional<stop_cause> stopped() const { return this->cause; }

    // Set while a try is under way: closes what it waits for.
    std::function<void()> stop_try;

private:
    std::optional<order> waiting;
    std::optional<stop_cause> cause;
    async_condition changed;
};

} // namespace bth::entry
