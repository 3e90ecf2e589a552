// Idle connections to targets, kept for reuse. A connection that the target has closed, or that has
// unread bytes which belong to no request, is never returned.
//
//   auto connection = pool.acquire(target_id, request_id, now, max_idle_time);   // null: open one
//   connection->add_unfinished(request_id);   // unless the request ends with this response
//   pool.release(target_id, std::move(connection), now);
//
// A target may write a response once more, and only the request id tells to which request it
// belongs. A request that is sent again is therefore never sent on a connection that has carried
// it: there, a copy of the response to its earlier attempt would count for the later one.
#pragma once

#include "bth/base/time.h"
#include "bth/shell/receive_budget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace bth::gateway {

struct target_connection {
    // Bytes that were received and not yet parsed. What is longer and has no end, such as a line,
    // is no valid response.
    static constexpr std::size_t max_unparsed_bytes = 128UL * 1024;
    // Bounds the memory for requests that may be sent again. A connection that has carried so many
    // is closed.
    static constexpr std::size_t max_unfinished_requests = 64;

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

    // Records that a request which was sent on this connection may be sent again.
    void add_unfinished(std::string_view request_id);
    // Returns whether that was recorded of a request.
    bool has_unfinished(std::string_view request_id) const;
    bool is_worn_out() const { return this->unfinished.size() >= max_unfinished_requests; }

private:
    // Hashes of request ids, which may be long.
    std::vector<std::uint64_t> unfinished;
};

// Returns whether the target has neither closed the connection nor sent bytes on it.
bool is_open_and_silent(target_connection& connection);

class target_connection_pool {
public:
    target_connection_pool() = default;
    explicit target_connection_pool(const shell::receive_limits& response_limits)
        : response_memory{response_limits}
    {}

    // Returns the most recently used connection to a target that is reusable, idle for less than
    // `max_idle_time` and hasn't carried the request, or null.
    std::unique_ptr<target_connection> acquire(const std::string& target,
                                               std::string_view request_id, time_point now,
                                               duration max_idle_time);
    // Adds an idle connection, unless it is worn out; above a limit per target, the one idle for
    // longest is closed.
    void release(const std::string& target, std::unique_ptr<target_connection> idle,
                 time_point now);

    // Closes all idle connections.
    void clear() { this->idle.clear(); }
    // Closes the connections that have been idle for so long that their target may soon close them.
    void sweep(time_point now);
    // Returns the number of idle connections to all targets.
    std::size_t size() const;

    // The memory of the responses that are read from all connections.
    shell::receive_budget& responses() { return this->response_memory; }

private:
    std::map<std::string, std::vector<std::unique_ptr<target_connection>>> idle;
    shell::receive_budget response_memory;
};

} // namespace bth::gateway
