// What the tries of a request share: the timer that ends them, and how an end is told to the core.
#pragma once

#include "bth/entry/orders.h"
#include "bth/shell/net.h"
#include "bth/steering/events.h"

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace bth::entry {

// While it lives, the deadline or a stop of the request calls `on_stop`.
class try_guard {
public:
    try_guard(const boost::asio::any_io_executor& executor,
              const std::shared_ptr<request_orders>& orders, time_point deadline,
              std::function<void()> on_stop)
        : orders{orders}, timer{executor}
    {
        this->orders->stop_try = std::move(on_stop);
        this->timer.expires_at(std::chrono::steady_clock::time_point{
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                deadline.time_since_epoch())});
        // An expiry that is on its way when the try ends must not stop the next one.
        this->timer.async_wait(
            [weak = std::weak_ptr{this->present}, orders](const boost::system::error_code& error) {
                if (!error && !weak.expired()) {
                    orders->stop(stop_cause::deadline);
                }
            });
    }
    try_guard(const try_guard&) = delete;
    try_guard& operator=(const try_guard&) = delete;
    ~try_guard() { this->orders->stop_try = nullptr; }

private:
    std::shared_ptr<request_orders> orders;
    std::shared_ptr<bool> present{std::make_shared<bool>(true)};
    boost::asio::steady_timer timer;
};

// The outcome of a try that ended without an answer. `sent` tells whether any byte of the request
// may have reached the other side.
inline steering::attempt_outcome outcome_of_failure(std::optional<stop_cause> cause, bool sent)
{
    if (cause == stop_cause::caller_gone || cause == stop_cause::core) {
        return steering::attempt_outcome::cancelled;
    }
    if (!sent) {
        return steering::attempt_outcome::connect_failed;
    }
    return cause == stop_cause::deadline ? steering::attempt_outcome::timed_out
                                         : steering::attempt_outcome::broken;
}

} // namespace bth::entry
