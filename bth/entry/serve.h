// Serves one request from its arrival to its final response, whether it came from a caller over
// HTTP or from another entry host.
//
//   const serve_outcome outcome = co_await serve(services, caller, commands, request, attributes);
#pragma once

#include "bth/entry/driver.h"
#include "bth/entry/metrics.h"
#include "bth/entry/peer_attempt.h"
#include "bth/entry/target_attempt.h"
#include "bth/once/idempotency_store.h"

#include <memory>
#include <variant>

#include <boost/asio/any_io_executor.hpp>

namespace bth::entry {

// The components of the entry process that are used to serve a request.
struct entry_services {
    boost::asio::any_io_executor executor;
    steering_driver& driver;
    target_connection_pool& targets;
    stream_multiplexer& streams;
    entry_metrics& metrics;
    once::idempotency_store& idempotency_records;
};

// How serving a request ended.
enum class serve_outcome : std::uint8_t {
    responded, // The caller got a complete response or a refusal.
    aborted,   // The response was aborted part-way, or the caller disconnected.
};

template <caller_side Caller>
class request_server {
public:
    request_server(entry_services& services, Caller& caller,
                   std::shared_ptr<request_commands> commands, const steering::arrival& request,
                   const request_attributes& attributes)
        : services{services}, caller{caller}, commands{std::move(commands)}, request{request},
          attributes{attributes}, body{caller}
    {}

    boost::asio::awaitable<serve_outcome> run()
    {
        this->services.driver.arrive(this->request, this->commands);
        while (true) {
            const auto next = co_await this->commands->next();
            if (!next) {
                this->finish_cancelled();
                co_return serve_outcome::aborted;
            }
            if (const auto* refusal = std::get_if<refusal_command>(&*next)) {
                co_return co_await this->refuse(*refusal);
            }
            steering::attempt_result result = co_await this->attempt(*next);
            const bool answered = result.outcome == steering::attempt_outcome::answered;
            const bool done = answered || result.answer_started ||
                              result.outcome == steering::attempt_outcome::cancelled;
            if (!done && !this->body.can_rewind()) {
                co_return co_await this->refuse_without_retry(result);
            }
            this->body.rewind();
            this->services.driver.finished(result);
            if (done) {
                co_return this->finish(result);
            }
        }
    }

private:
    boost::asio::awaitable<steering::attempt_result> attempt(const command& next)
    {
        if (const auto* at_target = std::get_if<target_attempt_command>(&next)) {
            target_attempt<Caller> attempt{this->services.targets, this->request.id, *at_target,
                                           this->commands,         this->caller,     this->body};
            co_return co_await attempt.run();
        }
        peer_attempt<Caller> attempt{this->services.executor,
                                     this->services.streams,
                                     this->attributes,
                                     this->request.id,
                                     std::get<forward_command>(next),
                                     this->commands,
                                     this->caller,
                                     this->body};
        co_return co_await attempt.run();
    }

    void finish_cancelled()
    {
        this->services.metrics.count_caller_disconnected();
        steering::attempt_result result;
        result.id = this->request.id;
        result.outcome = steering::attempt_outcome::cancelled;
        this->services.driver.finished(result);
    }

    serve_outcome finish(const steering::attempt_result& result)
    {
        if (result.outcome == steering::attempt_outcome::answered) {
            this->services.metrics.count_response();
            return serve_outcome::responded;
        }
        if (result.outcome == steering::attempt_outcome::cancelled) {
            this->services.metrics.count_caller_disconnected();
        }
        else {
            this->services.metrics.count_aborted_response();
        }
        this->caller.abort_response();
        return serve_outcome::aborted;
    }

    boost::asio::awaitable<serve_outcome> refuse(const refusal_command& refusal)
    {
        this->services.metrics.count_refusal(refusal.reason);
        const bool delivered = co_await this->caller.refuse(refusal);
        this->services.driver.forget(this->request.id);
        co_return delivered ? serve_outcome::responded : serve_outcome::aborted;
    }

    // Refuses a request whose attempt failed and whose body is too long to be kept for another one.
    // Sets answer_started in the result, so that the steering core makes no further attempt.
    boost::asio::awaitable<serve_outcome> refuse_without_retry(steering::attempt_result result)
    {
        const bool not_run = result.outcome == steering::attempt_outcome::not_run ||
                             result.outcome == steering::attempt_outcome::connect_failed;
        const refusal_command refusal{result.peer_reason.value_or(refusal_reason::target_failed),
                                      not_run ? run_state::no : run_state::unknown,
                                      result.retry_after};
        result.answer_started = true;
        this->services.driver.finished(result);
        co_return co_await this->refuse(refusal);
    }

    entry_services& services;
    Caller& caller;
    std::shared_ptr<request_commands> commands;
    const steering::arrival& request;
    const request_attributes& attributes;
    request_body<Caller> body;
};

// Serves `request`. `services`, `caller`, `request` and `attributes` must stay valid until it
// completes. `commands` may be stopped from outside, such as when the caller disconnects.
template <caller_side Caller>
boost::asio::awaitable<serve_outcome>
serve(entry_services& services, Caller& caller, std::shared_ptr<request_commands> commands,
      const steering::arrival& request, const request_attributes& attributes)
{
    request_server<Caller> server{services, caller, std::move(commands), request, attributes};
    co_return co_await server.run();
}

} // namespace bth::entry
