// Serves one request from its arrival to its final answer, whatever side it came from.
//
//   co_await serve(services, caller, orders, request, names);
#pragma once

#include "bth/entry/driver.h"
#include "bth/entry/metrics.h"
#include "bth/entry/peer_try.h"
#include "bth/entry/target_try.h"
#include "bth/once/idempotency_store.h"

#include <memory>
#include <variant>

#include <boost/asio/any_io_executor.hpp>

namespace bth::entry {

// What serving needs of the process.
struct entry_services {
    boost::asio::any_io_executor executor;
    steering_driver& driver;
    target_pool& targets;
    stream_hub& streams;
    entry_metrics& metrics;
    once::idempotency_store& records;
};

// How serving a request ended.
enum class serve_end : std::uint8_t {
    answered, // The caller has a whole answer or a refusal.
    cut,      // The caller has a part of an answer, or is gone.
};

template <caller_side Caller>
class request_server {
public:
    request_server(entry_services& services, Caller& caller, std::shared_ptr<request_orders> orders,
                   const steering::arrival& request, const request_names& names)
        : services{services}, caller{caller}, orders{std::move(orders)}, request{request},
          names{names}, body{caller}
    {}

    boost::asio::awaitable<serve_end> run()
    {
        this->services.driver.arrive(this->request, this->orders);
        while (true) {
            const auto next = co_await this->orders->next();
            if (!next) {
                this->end_cancelled();
                co_return serve_end::cut;
            }
            if (const auto* refusal = std::get_if<refusal_order>(&*next)) {
                co_return co_await this->refuse(*refusal);
            }
            steering::try_result result = co_await this->attempt(*next);
            const bool answered = result.outcome == steering::try_outcome::answered;
            const bool over = answered || result.answer_started ||
                              result.outcome == steering::try_outcome::cancelled;
            if (!over && !this->body.can_rewind()) {
                co_return co_await this->refuse_spent(result);
            }
            this->body.rewind();
            this->services.driver.finished(result);
            if (over) {
                co_return this->end(result);
            }
        }
    }

private:
    boost::asio::awaitable<steering::try_result> attempt(const order& next)
    {
        if (const auto* at_target = std::get_if<target_order>(&next)) {
            target_try<Caller> attempt{this->services.targets, this->request.id, *at_target,
                                       this->orders,           this->caller,     this->body};
            co_return co_await attempt.run();
        }
        peer_try<Caller> attempt{
            this->services.executor,    this->services.streams, this->names,  this->request.id,
            std::get<peer_order>(next), this->orders,           this->caller, this->body};
        co_return co_await attempt.run();
    }

    void end_cancelled()
    {
        this->services.metrics.count_caller_gone();
        steering::try_result result;
        result.id = this->request.id;
        result.outcome = steering::try_outcome::cancelled;
        this->services.driver.finished(result);
    }

    serve_end end(const steering::try_result& result)
    {
        if (result.outcome == steering::try_outcome::answered) {
            this->services.metrics.count_answer();
            return serve_end::answered;
        }
        if (result.outcome == steering::try_outcome::cancelled) {
            this->services.metrics.count_caller_gone();
        }
        else {
            this->services.metrics.count_cut();
        }
        this->caller.cut_answer();
        return serve_end::cut;
    }

    boost::asio::awaitable<serve_end> refuse(const refusal_order& refusal)
    {
        this->services.metrics.count_refusal(refusal.reason);
        const bool taken = co_await this->caller.refuse(refusal);
        this->services.driver.forget(this->request.id);
        co_return taken ? serve_end::answered : serve_end::cut;
    }

    // The body is too long to be sent again, so the failed try was the last one.
    boost::asio::awaitable<serve_end> refuse_spent(steering::try_result result)
    {
        const bool not_run = result.outcome == steering::try_outcome::not_run ||
                             result.outcome == steering::try_outcome::connect_failed;
        const refusal_order refusal{result.peer_reason.value_or(refusal_reason::target_failed),
                                    not_run ? run_state::no : run_state::unknown,
                                    result.retry_after};
        result.answer_started = true;
        this->services.driver.finished(result);
        co_return co_await this->refuse(refusal);
    }

    entry_services& services;
    Caller& caller;
    std::shared_ptr<request_orders> orders;
    const steering::arrival& request;
    const request_names& names;
    request_body<Caller> body;
};

template <caller_side Caller>
boost::asio::awaitable<serve_end>
serve(entry_services& services, Caller& caller, std::shared_ptr<request_orders> orders,
      const steering::arrival& request, const request_names& names)
{
    request_server<Caller> server{services, caller, std::move(orders), request, names};
    co_return co_await server.run();
}

} // namespace bth::entry
