#include "bth/entry/target_pool.h"

#include "bth/shell/net.h"

#include <chrono>
#include <utility>

#include <sys/socket.h>

namespace bth::entry {

namespace {

constexpr duration max_idle_time = std::chrono::seconds{20};

// Returns whether nothing has arrived since the last response: neither a close nor unexpected
// bytes.
bool is_open_without_input(target_connection& connection)
{
    char byte{};
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

// The connections to one target.
struct per_target_connections {
    std::vector<std::shared_ptr<target_connection>> idle;
    // All connections to the target, idle and in use.
    std::uint32_t open_count{};
};

target_connection::target_connection(const boost::asio::any_io_executor& executor,
                                     std::shared_ptr<per_target_connections> connections)
    : socket{executor}, connections{std::move(connections)}
{
    ++this->connections->open_count;
}

target_connection::~target_connection()
{
    --this->connections->open_count;
}

void target_connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void target_connection::abort()
{
    shell::reset(this->socket);
}

std::shared_ptr<per_target_connections>
target_connection_pool::connections_to(const endpoint& address)
{
    auto& connections = this->connections_by_target[address];
    if (!connections) {
        connections = std::make_shared<per_target_connections>();
    }
    return connections;
}

std::shared_ptr<target_connection> target_connection_pool::take_idle(const endpoint& address)
{
    const auto connections = this->connections_to(address);
    while (!connections->idle.empty()) {
        auto connection = std::move(connections->idle.back());
        connections->idle.pop_back();
        if (is_open_without_input(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

std::shared_ptr<target_connection> target_connection_pool::make_connection(const endpoint& address,
                                                                           std::uint32_t limit)
{
    const auto connections = this->connections_to(address);
    if (connections->open_count >= limit) {
        return nullptr;
    }
    return std::make_shared<target_connection>(this->executor, connections);
}

void target_connection_pool::release(std::shared_ptr<target_connection> connection, time_point now)
{
    connection->idle_since = now;
    const auto connections = connection->connections;
    connections->idle.push_back(std::move(connection));
}

void target_connection_pool::close_idle_connections(time_point now, bool all)
{
    for (const auto& [address, connections] : this->connections_by_target) {
        std::erase_if(connections->idle, [&](const std::shared_ptr<target_connection>& each) {
            return all || now - each->idle_since > max_idle_time;
        });
    }
}

std::size_t target_connection_pool::open_connection_count() const
{
    std::size_t count = 0;
    for (const auto& [address, connections] : this->connections_by_target) {
        count += connections->open_count;
    }
    return count;
}

} // namespace bth::entry
