// One waiting coroutine that others wake. Waits are made in a loop over a condition.
//
//   while (queue.empty()) { co_await changed.wait(); }
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::entry {

class signal {
public:
    explicit signal(const boost::asio::any_io_executor& executor)
        : timer{executor, boost::asio::steady_timer::time_point::max()}
    {}

    boost::asio::awaitable<void> wait()
    {
        boost::system::error_code cancelled;
        co_await this->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }

    void notify() { this->timer.cancel(); }

private:
    boost::asio::steady_timer timer;
};

} // namespace bth::entry
