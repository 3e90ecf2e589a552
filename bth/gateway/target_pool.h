// Open connections to targets, kept for the next request. A connection that isn't in order any more
// (closed, or with bytes that belong to no request) is never handed out.
//
//   auto held = pool.take(target_id, now);          // null: connect anew
//   pool.put(target_id, std::move(held), now);
#pragma once

#include "bth/base/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace bth::gateway {

struct target_connection {
    explicit target_connection(const boost::asio::any_io_executor& executor) : socket{executor} {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    // How long the target keeps it open while idle.
    duration idle_limit{};
    time_point idle_since;
    bool reused{};
};

class target_pool {
public:
    // The connection that was used last, if one is in order and idle for less than `most_idle`.
    std::unique_ptr<target_connection> take(const std::string& target, time_point now,
                                            duration most_idle);
    void put(const std::string& target, std::unique_ptr<target_connection> idle, time_point now);

    // Closes connections that the targets are about to close.
    void sweep(time_point now);
    std::size_t size() const;

private:
    std::map<std::string, std::vector<std::unique_ptr<target_connection>>> idle;
};

} // namespace bth::gateway
