// Conversions between plain endpoints and Asio's, listening with clear errors, and the real clocks.
//
//   auto acceptor = listen_on(executor, parse_endpoint("127.1.0.1:8080").value());
//   if (!acceptor) { std::cerr << acceptor.error(); }
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/base/time.h"

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

namespace bth::shell {

boost::asio::ip::tcp::endpoint to_asio(const endpoint& where);
endpoint from_asio(const boost::asio::ip::tcp::endpoint& where);

// An acceptor that listens, or one sentence that names the address and the system's error. Port 0
// lets the kernel pick; the acceptor's local endpoint then tells the port.
tl::expected<boost::asio::ip::tcp::acceptor, std::string>
listen_on(const boost::asio::any_io_executor& executor, const endpoint& where);

// Closes a connection and discards what the other side hasn't received. After a plain close the
// kernel goes on sending that, also long after a cut has healed.
void reset(boost::asio::ip::tcp::socket& socket);

// The clocks that a shell passes to the core. The monotonic one counts the time during which the
// host was suspended.
time_point monotonic_now();
clock_reading read_clocks();

// The incarnation of a process that starts now: later than any earlier one of its host, as long as
// the time of day isn't set back past the last start.
incarnation fresh_incarnation();

} // namespace bth::shell
