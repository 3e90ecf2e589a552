// The part of gateway that deals with requests that crash targets.
#include "bth/gateway/gateway.h"

#include "bth/gateway/internal/request_path.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports false mismatches of new and delete for the coroutine frames that Asio allocates
// when it inlines their allocation.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bth::gateway {

namespace {

using dispatch::crash_verdict;
using internal::probe_hold;

// A trial begins at the latest so long before the deadline of its request; most requests take less.
constexpr std::chrono::milliseconds min_trial_time{400};
// How often a request that waits is judged again: the trial before it may have ended, and news of
// other hosts may clear it before its own trial would begin.
constexpr std::chrono::milliseconds trial_poll_interval{50};

} // namespace

dispatch::host_view gateway::crash_view(time_point now) const
{
    return {this->entry_hosts.rank(), this->entry_hosts.hosts(), this->senders.is_in_contact(now)};
}

dispatch::crash_judgement gateway::judge_crashes(const request_state& state)
{
    const auto now = shell::monotonic_now();
    return this->crashes->judge(now, state.fingerprint, this->crash_view(now),
                                state.deadline - min_trial_time);
}

bool gateway::is_barred(time_point now, dispatch::request_fingerprint request)
{
    return this->crashes->is_barred(now, request, this->crash_view(now));
}

boost::asio::awaitable<std::optional<caller_response>> gateway::await_trial(request_state& state)
{
    const auto control = state.request->control;
    while (!control->aborted() && !control->is_answered) {
        const auto now = shell::monotonic_now();
        const auto judgement = this->judge_crashes(state);
        const bool is_free = judgement.verdict == crash_verdict::on_trial &&
                             !this->trials.contains(state.fingerprint);
        if (judgement.verdict == crash_verdict::clear || is_free) {
            co_return std::nullopt;
        }
        const bool is_too_late = now + trial_poll_interval >= state.deadline;
        if (judgement.verdict == crash_verdict::refused || is_too_late) {
            const duration wait = std::max<duration>(judgement.wait, trial_poll_interval);
            this->events->write(shell::event{"crash_suspect"}
                                    .with("request", state.id)
                                    .with("fingerprint", state.fingerprint.value())
                                    .with("crashes", judgement.crashes)
                                    .with("wait_ms", wait));
            co_return this->refuse(state, refusal_reason::crashes_targets, wait);
        }
        boost::asio::steady_timer timer{*this->context};
        const bool is_held = judgement.verdict == crash_verdict::held;
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            is_held ? std::min<duration>(judgement.wait, trial_poll_interval)
                    : trial_poll_interval));
        control->close = [&timer] {
            timer.cancel();
        };
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        control->close = nullptr;
    }
    co_return std::nullopt;
}

boost::asio::awaitable<bool> gateway::has_crashed(dispatch::target_ptr target)
{
    const auto self = shared_from_this();
    // A named object, since g++ 12 destroys temporaries in the operand of co_await twice.
    std::string id = target->info().id;
    const auto reachability =
        co_await probe_target(this->connections, std::move(id), target->info().target_endpoint,
                              this->connect_timeout(target->info().domain), probe_hold);
    const auto now = shell::monotonic_now();
    if (reachability == target_reachability::accepts) {
        this->contact.record_connection();
        co_return false;
    }
    this->contact.record_failure(now, target->info().id);
    this->start_watching_contact(now);
    // A host that is cut off sees all its targets crash in one moment, which counts little against
    // any request. Where all targets did crash, the request that is the cause must be known.
    co_return reachability == target_reachability::refuses;
}

void gateway::record_crash(const dispatch::target& target, const std::string& request_id,
                           dispatch::request_fingerprint fingerprint, time_point at)
{
    const auto now = shell::monotonic_now();
    const auto& info = target.info();
    const dispatch::crash_report seen{fingerprint, dispatch::make_target_key(info.id),
                                      dispatch::make_service_key(info.service), now - at};
    if (!this->crashes->record_crash(now, seen, dispatch::news_source::observed)) {
        return;
    }
    this->metrics.count_crash();
    this->events->write(shell::event{"target_crashed"}
                            .with("target", info.id)
                            .with("request", request_id)
                            .with("fingerprint", fingerprint.value())
                            .with("barred", this->is_barred(now, fingerprint)));
    if (this->crash_handler) {
        this->crash_handler();
    }
}

void gateway::record_completion(const request_state& state)
{
    if (!this->crashes->record_completion(shell::monotonic_now(), state.fingerprint)) {
        return;
    }
    this->events->write(shell::event{"crashes_cleared"}
                            .with("request", state.id)
                            .with("fingerprint", state.fingerprint.value()));
    if (this->crash_handler) {
        this->crash_handler();
    }
}

void gateway::merge_crash_news(time_point now, const dispatch::crash_news& news)
{
    if (this->crashes->merge(now, news, dispatch::news_source::relayed)) {
        this->events->write(shell::event{"crashes_heard"}
                                .with("crashes", news.crashes.size())
                                .with("cleared", news.completions.size())
                                .with("known", this->crashes->size()));
    }
}

} // namespace bth::gateway
