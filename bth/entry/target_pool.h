// Connections to targets, kept open between requests.
//
// A connection is given back only after its answer has ended whole and in order; one whose try was
// stopped, timed out or broke is dropped, so that a late answer has no one to reach.
//
//   auto connection = pool.take_idle(where);
//   if (!connection) { connection = co_await pool.connect(where, limit); }
//   ... one request, one whole answer ...
//   pool.give_back(std::move(connection));
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/time.h"

#include <map>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace bth::entry {

struct pool_row;

// One connection to a target; it counts against the target's connections while it lives.
class target_connection {
public:
    target_connection(const boost::asio::any_io_executor& executor, std::shared_ptr<pool_row> row);
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;
    ~target_connection();

    void close();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<pool_row> row;
    time_point idle_since;
};

class target_pool {
public:
    explicit target_pool(boost::asio::any_io_executor executor) : executor{std::move(executor)} {}

    // A connection that waits for a request, or nothing.
    std::shared_ptr<target_connection> take_idle(const endpoint& where);
    // A closed connection to connect, or nothing if the target has `limit` connections already.
    std::shared_ptr<target_connection> make(const endpoint& where, std::uint32_t limit);
    void give_back(std::shared_ptr<target_connection> connection, time_point now);

    // Closes connections that have been idle for long; all idle ones if `all`.
    void sweep(time_point now, bool all = false);

    std::size_t open_connections() const;

private:
    std::shared_ptr<pool_row> row_of(const endpoint& where);

    boost::asio::any_io_executor executor;
    std::map<endpoint, std::shared_ptr<pool_row>> rows;
};

} // namespace bth::entry
