// Sends one request to one target and reads its answer.
//
//   auto control = std::make_shared<send_control>();
//   send_result got = co_await send_to(pool, control, order);
//   control->abort();        // from anywhere: closes the connection, which stops the target's work
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/time.h"
#include "bth/dispatch/target.h"
#include "bth/gateway/answer.h"
#include "bth/gateway/fields.h"
#include "bth/gateway/target_pool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace bth::gateway {

// Lets a send in progress be given up.
struct send_control {
    // Ends the send; empty while none is in progress.
    std::function<void()> close;
    bool caller_gone{};
    bool out_of_time{};

    bool aborted() const { return this->caller_gone || this->out_of_time; }
    void abort();
};

struct send_order {
    std::string target;
    endpoint where;
    std::string request_id;
    // The whole request as it goes over the wire.
    std::string bytes;
    bool to_head{};
    // A connection that has been idle for longer isn't used: it may be dead without a sign.
    duration most_idle{};
    // How long a new connection may take.
    duration connect_limit{};
    const field_names* names{};
};

struct send_result {
    dispatch::send_outcome outcome{};
    // Whether the target may have run the request.
    bool may_have_run{};
    // Whether the target read the request and refused it, which it counts as an arrival.
    bool arrived{};
    std::optional<answer> got;
    std::optional<dispatch::load_report> load;
};

// The result of a send that was given up; `sent` if a byte of the request may have reached the
// target.
send_result given_up(const send_control& control, bool sent);

boost::asio::awaitable<send_result>
send_to(target_pool& pool, std::shared_ptr<send_control> control, send_order order);

} // namespace bth::gateway
