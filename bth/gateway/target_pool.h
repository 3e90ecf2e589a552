// Idle connections to targets, kept for reuse. A connection that the target has closed, or that has
// unread bytes which belong to no request, is never returned.
//
//   auto connection = pool.acquire(target_id, now, max_idle_time);   // null: open a new one
//   pool.release(target_id, std::move(connection), now);
#pragma once

#include "bth/base/time.h"
#include "bth/gateway/response_budget.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace bth::gateway {

struct target_connection {
    // Bytes that were received and not yet parsed. What is longer and has no end, such as a line,
    // is no valid response.
    static constexpr std::size_t max_unparsed_bytes = 128UL * 1024;

    explicit target_connection(const boost::asio::any_io_executor& executor)
        : socket{executor}, buffer{max_unparsed_bytes}
    {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    // How long the target keeps the connection open while it is idle.
    duration idle_timeout{};
    time_point idle_since;
    // A request was written on it, so that answers to that one may come once more.
    bool is_used{};
};

// Returns whether the target has neither closed the connection nor sent bytes on it.
bool is_open_and_silent(target_connection& connection);

class target_connection_pool {
public:
    // Returns the most recently used connection to a target that is reusable and idle for less than
    // `max_idle_time`, or null.
    std::unique_ptr<target_connection> acquire(const std::string& target, time_point now,
                                               duration max_idle_time);
    // Adds an idle connection; above a limit per target, the one idle for longest is closed.
    void release(const std::string& target, std::unique_ptr<target_connection> idle,
                 time_point now);

    // Closes all idle connections.
    void clear() { this->idle.clear(); }
    // Closes the connections that have been idle for so long that their target may soon close them.
    void sweep(time_point now);
    // Returns the number of idle connections to all targets.
    std::size_t size() const;

    // The memory of the responses that are read from all connections.
    response_budget& responses() { return this->response_memory; }

private:
    std::map<std::string, std::vector<std::unique_ptr<target_connection>>> idle;
    response_budget response_memory;
};

} // namespace bth::gateway
