// A pool of connections to targets that are kept open between requests.
//
// A connection returns to the pool only after a complete and well-formed response that isn't a
// refusal. If an attempt was stopped, timed out, failed or refused, its connection is closed, so
// that a late response can't reach another request.
//
//   auto connection = pool.take_idle(address);
//   if (!connection) { connection = pool.make_connection(address, limit); }   // to be connected
//   ... one request, one complete response ...
//   pool.release(std::move(connection), now);
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

struct per_target_connections;

// One connection to a target. It counts towards the target's connection limit until it is
// destroyed.
class target_connection {
public:
    target_connection(const boost::asio::any_io_executor& executor,
                      std::shared_ptr<per_target_connections> connections);
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;
    ~target_connection();

    void close();
    // The same for a request that was given up: what the target hasn't received of it is discarded.
    void abort();

    // Bounds the extensions of a chunk and a trailer, which the parser's limits don't.
    static constexpr std::size_t max_unparsed_bytes = 64UL * 1024;

    boost::asio::ip::tcp::socket socket;
    // Bytes that were read and not parsed yet.
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    std::shared_ptr<per_target_connections> connections;
    // When the connection was last released to the pool.
    time_point idle_since;
};

class target_connection_pool {
public:
    explicit target_connection_pool(boost::asio::any_io_executor executor)
        : executor{std::move(executor)}
    {}

    // Returns an idle connection to the target, or null if there is none. Idle connections that the
    // target has closed or sent unexpected bytes on are dropped.
    std::shared_ptr<target_connection> take_idle(const endpoint& address);
    // Returns a new connection that is still to be connected, or null if the target has `limit`
    // connections already.
    std::shared_ptr<target_connection> make_connection(const endpoint& address,
                                                       std::uint32_t limit);
    // Returns a connection to the pool, idle since `now`.
    void release(std::shared_ptr<target_connection> connection, time_point now);

    // Closes connections that have been idle for too long, or all idle ones if `all`.
    void close_idle_connections(time_point now, bool all = false);

    // Returns the number of connections, idle and in use, over all targets.
    std::size_t open_connection_count() const;

private:
    std::shared_ptr<per_target_connections> connections_to(const endpoint& address);

    boost::asio::any_io_executor executor;
    std::map<endpoint, std::shared_ptr<per_target_connections>> connections_by_target;
};

} // namespace bth::entry
