// A condition variable for coroutines. A notification that no coroutine waits for is lost, so each
// wait belongs in a loop that checks its condition.
//
//   while (queue.empty()) { co_await changed.wait(); }   // another coroutine: changed.notify();
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::entry {

class async_condition {
public:
    explicit async_condition(const boost::asio::any_io_executor& executor)
        : timer{executor, boost::asio::steady_timer::time_point::max()}
    {}

    boost::asio::awaitable<void> wait()
    {
        boost::system::error_code cancelled;
        co_await this->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }

    // Wakes all waiting coroutines.
    void notify() { this->timer.cancel(); }

private:
    boost::asio::steady_timer timer;
};

} // namespace bth::entry
