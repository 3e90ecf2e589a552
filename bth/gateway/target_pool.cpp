#include "bth/gateway/target_pool.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace bth::gateway {

namespace {

// Idle connections that are kept to one target; more than its slots are seldom used.
constexpr std::size_t most_idle_connections = 6;
// A request sent as the target closes the connection is lost: it is left alone some time before.
constexpr double safe_share_of_idle_limit = 0.7;

bool is_in_order(target_connection& each)
{
    char byte{};
    const auto got = ::recv(each.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool is_fresh(const target_connection& each, time_point now)
{
    const std::chrono::duration<double> limit = each.idle_limit;
    return now - each.idle_since < limit * safe_share_of_idle_limit;
}

} // namespace

std::unique_ptr<target_connection> target_pool::take(const std::string& target, time_point now,
                                                     duration most_idle)
{
    const auto rows = this->idle.find(target);
    if (rows == this->idle.end()) {
        return nullptr;
    }
    while (!rows->second.empty()) {
        auto last = std::move(rows->second.back());
        rows->second.pop_back();
        if (is_fresh(*last, now) && now - last->idle_since < most_idle && is_in_order(*last)) {
            last->reused = true;
            return last;
        }
    }
    return nullptr;
}

void target_pool::put(const std::string& target, std::unique_ptr<target_connection> each,
                      time_point now)
{
    each->idle_since = now;
    auto& rows = this->idle[target];
    rows.push_back(std::move(each));
    if (rows.size() > most_idle_connections) {
        rows.erase(rows.begin());
    }
}

void target_pool::sweep(time_point now)
{
    for (auto& [target, rows] : this->idle) {
        std::erase_if(rows, [now](const auto& each) { return !is_fresh(*each, now); });
    }
    std::erase_if(this->idle, [](const auto& each) { return each.second.empty(); });
}

std::size_t target_pool::size() const
{
    std::size_t sum = 0;
    for (const auto& [target, rows] : this->idle) {
        sum += rows.size();
    }
    return sum;
}

} // namespace bth::gateway
