#include "bth/shell/net.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace bth::shell {

boost::asio::ip::tcp::endpoint to_asio(const endpoint& where)
{
    return {boost::asio::ip::address_v4{where.address.bits}, where.port};
}

endpoint from_asio(const boost::asio::ip::tcp::endpoint& where)
{
    if (!where.address().is_v4()) {
        return {};
    }
    return {ipv4_address{where.address().to_v4().to_uint()}, where.port()};
}

tl::expected<boost::asio::ip::tcp::acceptor, std::string>
listen_on(const boost::asio::any_io_executor& executor, const endpoint& where)
{
    boost::asio::ip::tcp::acceptor acceptor{executor};
    boost::system::error_code error;
    const auto fail = [&]() {
        return tl::unexpected{"can't listen on " + to_string(where) + ": " + error.message()};
    };
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    if (error) {
        return fail();
    }
    acceptor.set_option(boost::asio::socket_base::reuse_address{true}, error);
    acceptor.bind(to_asio(where), error);
    if (error) {
        return fail();
    }
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        return fail();
    }
    return acceptor;
}

void reset(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

time_point monotonic_now()
{
    // A lease must run out while its holder is suspended; the steady clock stands still meanwhile.
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

clock_reading read_clocks()
{
    const auto wall = std::chrono::system_clock::now();
    return {monotonic_now(), std::chrono::time_point_cast<std::chrono::milliseconds>(wall)};
}

incarnation fresh_incarnation()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(since).count();
    return incarnation{static_cast<std::uint64_t>(us)};
}

} // namespace bth::shell
