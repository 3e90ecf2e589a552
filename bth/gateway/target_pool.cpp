#include "bth/gateway/target_pool.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <xxhash.h>

namespace bth::gateway {

namespace {

// Idle connections kept to one target; more connections than the target has slots are rarely used.
constexpr std::size_t max_idle_connections_per_target = 6;
// Fraction of the target's idle timeout after which a connection isn't reused: a request sent while
// the target closes the connection is lost.
constexpr double usable_idle_fraction = 0.7;

bool is_safe_to_reuse(const target_connection& connection, time_point now)
{
    const std::chrono::duration<double> limit = connection.idle_timeout;
    return now - connection.idle_since < limit * usable_idle_fraction;
}

std::uint64_t hash_of(std::string_view request_id)
{
    return XXH3_64bits(request_id.data(), request_id.size());
}

} // namespace

void target_connection::add_unfinished(std::string_view request_id)
{
    this->unfinished.push_back(hash_of(request_id));
}

bool target_connection::has_unfinished(std::string_view request_id) const
{
    return std::find(this->unfinished.begin(), this->unfinished.end(), hash_of(request_id)) !=
           this->unfinished.end();
}

bool is_open_and_silent(target_connection& connection)
{
    char byte{};
    const auto received =
        ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<target_connection> target_connection_pool::acquire(const std::string& target,
                                                                   std::string_view request_id,
                                                                   time_point now,
                                                                   duration max_idle_time)
{
    const auto found = this->idle.find(target);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    for (auto at = connections.size(); at-- > 0;) {
        if (connections[at]->has_unfinished(request_id)) {
            continue;
        }
        auto last = std::move(connections[at]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(at));
        if (is_safe_to_reuse(*last, now) && now - last->idle_since < max_idle_time &&
            is_open_and_silent(*last)) {
            return last;
        }
    }
    return nullptr;
}

void target_connection_pool::release(const std::string& target,
                                     std::unique_ptr<target_connection> connection, time_point now)
{
    if (connection->is_worn_out()) {
        return;
    }
    connection->idle_since = now;
    connection->buffer.shrink_to_fit();
    auto& connections = this->idle[target];
    connections.push_back(std::move(connection));
    if (connections.size() > max_idle_connections_per_target) {
        connections.erase(connections.begin());
    }
}

void target_connection_pool::sweep(time_point now)
{
    for (auto& [target, connections] : this->idle) {
        std::erase_if(connections, [now](const auto& connection) {
            return !is_safe_to_reuse(*connection, now);
        });
    }
    std::erase_if(this->idle, [](const auto& connection) { return connection.second.empty(); });
}

std::size_t target_connection_pool::size() const
{
    std::size_t total = 0;
    for (const auto& [target, connections] : this->idle) {
        total += connections.size();
    }
    return total;
}

} // namespace bth::gateway
