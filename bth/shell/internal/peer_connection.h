// One TCP connection to another process: reads verified frames, writes queued ones.
#pragma once

#include "bth/shell/receive_budget.h"
#include "bth/wire/frame.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bth::shell::internal {

class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    struct hooks {
        // The peer's hello came; false closes the connection.
        std::function<bool(const std::shared_ptr<peer_connection>&)> greeted;
        // A frame came; false closes the connection.
        std::function<bool(const std::shared_ptr<peer_connection>&, const wire::frame&)> received;
        // The connection is closed; `reason` is one sentence.
        std::function<void(const std::shared_ptr<peer_connection>&, const std::string& reason)>
            closed;
    };

    // `frame_memory` is that of the frames which are being received from all peers.
    peer_connection(boost::asio::ip::tcp::socket socket, bool dialled, std::size_t queue_limit,
                    std::shared_ptr<receive_budget> frame_memory, hooks on);

    // Sends hello and reads until the connection ends.
    void start(const std::string& own_name, incarnation own_life);
    // False if the queue is full or the connection is closed; then nothing was queued.
    bool send(wire::frame_kind kind, wire::byte_view payload);
    void close(const std::string& reason);

    bool was_dialled() const { return this->dialled; }
    const std::string& peer_name() const { return this->name; }
    incarnation peer_life() const { return this->life; }
    std::size_t queued_bytes() const { return this->queued; }

private:
    boost::asio::awaitable<void> read_all();
    bool take(const wire::frame& next);
    void expect_hello();
    void flush();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer hello_timer;
    std::shared_ptr<receive_budget> frame_memory;
    receive_budget::share memory;
    wire::frame_reader reader{wire::max_hello_bytes};
    // Requests and answers wait behind everything else, so that a bulk answer holds up no lease.
    std::deque<wire::bytes> urgent;
    std::deque<wire::bytes> streams;
    std::vector<wire::bytes> writing;
    std::size_t queued{};
    std::size_t queue_limit;
    std::string name;
    incarnation life;
    hooks on;
    bool dialled;
    bool greeted{};
    bool is_closed{};
};

} // namespace bth::shell::internal
