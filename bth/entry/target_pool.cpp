#include "bth/entry/target_pool.h"

#include <chrono>
#include <utility>

#include <sys/socket.h>

namespace bth::entry {

namespace {

constexpr duration idle_limit = std::chrono::seconds{20};

// Whether nothing has come since the last answer: neither a close nor bytes that nobody asked for.
bool is_quiet(target_connection& connection)
{
    char byte{};
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

// The connections to one target.
struct pool_row {
    std::vector<std::shared_ptr<target_connection>> idle;
    std::uint32_t open{};
};

target_connection::target_connection(const boost::asio::any_io_executor& executor,
                                     std::shared_ptr<pool_row> row)
    : socket{executor}, row{std::move(row)}
{
    ++this->row->open;
}

target_connection::~target_connection()
{
    --this->row->open;
}

void target_connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

std::shared_ptr<pool_row> target_pool::row_of(const endpoint& where)
{
    auto& row = this->rows[where];
    if (!row) {
        row = std::make_shared<pool_row>();
    }
    return row;
}

std::shared_ptr<target_connection> target_pool::take_idle(const endpoint& where)
{
    const auto row = this->row_of(where);
    while (!row->idle.empty()) {
        auto connection = std::move(row->idle.back());
        row->idle.pop_back();
        if (is_quiet(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

std::shared_ptr<target_connection> target_pool::make(const endpoint& where, std::uint32_t limit)
{
    const auto row = this->row_of(where);
    if (row->open >= limit) {
        return nullptr;
    }
    return std::make_shared<target_connection>(this->executor, row);
}

void target_pool::give_back(std::shared_ptr<target_connection> connection, time_point now)
{
    connection->idle_since = now;
    const auto row = connection->row;
    row->idle.push_back(std::move(connection));
}

void target_pool::sweep(time_point now, bool all)
{
    for (const auto& [where, row] : this->rows) {
        std::erase_if(row->idle, [&](const std::shared_ptr<target_connection>& each) {
            return all || now - each->idle_since > idle_limit;
        });
    }
}

std::size_t target_pool::open_connections() const
{
    std::size_t count = 0;
    for (const auto& [where, row] : this->rows) {
        count += row->open;
    }
    return count;
}

} // namespace bth::entry
