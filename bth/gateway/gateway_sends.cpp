#include "bth/gateway/gateway.h"

#include "bth/gateway/internal/request_path.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

// g++ 12 reports false mismatches of new and delete for the coroutine frames that Asio allocates
// when it inlines their allocation.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bth::gateway {

namespace {

using dispatch::fractional_ms;
using dispatch::send_outcome;
using internal::decline_name;
using internal::forwarded_response_wait;
using internal::is_completed;
using internal::view;
using route::repeatability;

// Network delay to a target and back; subtracted from the remaining time that is sent to it.
constexpr std::chrono::milliseconds target_network_delay{10};
// Maximum idle time at which a connection is reused, for repeatable requests and for requests that
// may run at most once. The latter can't be retried if the connection turns out to be broken after
// the request was sent, so the response would be lost.
constexpr std::chrono::seconds max_idle_repeatable{8};
constexpr std::chrono::seconds max_idle_at_most_once{3};

std::string_view outcome_name(send_outcome outcome)
{
    switch (outcome) {
    case send_outcome::answered:
        return "answered";
    case send_outcome::shed:
        return "shed";
    case send_outcome::misdirected:
        return "misdirected";
    case send_outcome::not_reached:
        return "not_reached";
    case send_outcome::broken:
        return "broken";
    case send_outcome::failed:
        return "failed";
    case send_outcome::timed_out:
        return "timed_out";
    case send_outcome::abandoned:
        return "abandoned";
    case send_outcome::withheld:
        return "withheld";
    }
    return "unknown";
}

} // namespace

std::string gateway::request_bytes(const request_state& state, const dispatch::target* target,
                                   time_point now) const
{
    const auto& message = state.request->message;
    const auto options = view(message[http::field::connection]);
    std::string out{view(message.method_string())};
    out += ' ';
    out += view(message.target());
    out += " HTTP/1.1\r\n";
    const auto matches = [](std::string_view name, const std::string& other) {
        return boost::beast::iequals({name.data(), name.size()}, other);
    };
    for (const auto& header : message) {
        const auto name = view(header.name_string());
        if (is_connection_field(name, options) ||
            matches(name, this->header_names.remaining_time_ms) ||
            matches(name, this->header_names.expected_target) || matches(name, "Expect")) {
            continue;
        }
        if (state.has_own_credentials && (header.name() == http::field::authorization ||
                                          matches(name, this->header_names.customer))) {
            continue;
        }
        out += name;
        out += ": ";
        out += view(header.value());
        out += "\r\n";
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        state.deadline - now - target_network_delay);
    out += this->header_names.remaining_time_ms + ": " +
           std::to_string(std::max<std::int64_t>(remaining.count(), 1));
    out += "\r\n";
    if (state.customer) {
        out += this->header_names.customer + ": " + state.customer->name + "\r\n";
    }
    if (target != nullptr) {
        out += this->header_names.expected_target + ": " + target->info().id + "\r\n";
    }
    const bool has_length = !message.body().empty() || message.method() == http::verb::post ||
                            message.method() == http::verb::put ||
                            message.method() == http::verb::patch;
    if (has_length) {
        out += "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
    }
    return out + "\r\n" + message.body();
}

boost::asio::awaitable<std::optional<send_result>>
gateway::send(request_state& state, const dispatch::placement& placement)
{
    const auto target = placement.target;
    outgoing_request outgoing{placement,
                              state.matched_route->name,
                              state.service,
                              state.id,
                              state.fingerprint,
                              state.object,
                              this->request_bytes(state, target.get(), shell::monotonic_now()),
                              state.request->message.method() == http::verb::head,
                              state.matched_route->repeat == repeatability::at_most_once,
                              state.deadline};
    state.tried_targets.push_back(target);
    const auto sender = this->sending_host(*target);
    if (!sender) {
        this->decline(state, *target, "", "no_sender");
        co_return std::nullopt;
    }
    if (*sender != this->settings.name) {
        co_return co_await this->forward_to_sender(state, *sender, std::move(outgoing));
    }
    ++state.attempts;
    auto result = co_await this->send_directly(state.request->control, std::move(outgoing));
    if (result.outcome == send_outcome::withheld) {
        --state.attempts;
        if (!this->is_barred(shell::monotonic_now(), state.fingerprint)) {
            this->decline(state, *target, *sender, "withheld");
        }
        co_return std::nullopt;
    }
    state.may_have_run = state.may_have_run || result.may_have_run;
    if (is_completed(result)) {
        this->record_completion(state);
    }
    co_return result;
}

// A target that is cold or named a limit accepts only few requests of all hosts together, so those
// to it go through its senders. To other targets each host sends directly: forwarding sends the
// bytes of a request and its response over two more host links, and a busy link delays more
// responses than better knowledge of the queue keeps in time.
std::optional<std::string> gateway::sending_host(const dispatch::target& target)
{
    const auto now = shell::monotonic_now();
    if (!target.is_shared_out(now) || this->is_sender(now, target) ||
        this->is_limit_probe_due(now, target)) {
        return this->settings.name;
    }
    auto candidates = this->senders.senders_of(now, target.info(), this->sender_count(now, target));
    std::erase_if(candidates, [this](std::string_view host) {
        return host == this->settings.name || !this->senders.is_ready(host) || !this->forwarder ||
               !this->forwarder->is_usable(std::string{host});
    });
    if (candidates.empty()) {
        return std::nullopt;
    }
    return std::string{candidates[this->turn++ % candidates.size()]};
}

std::size_t gateway::sender_count(time_point now, const dispatch::target& target) const
{
    return target.is_cold(now) ? this->cold_split(target.info().service).senders
                               : dispatch::shared_rate::senders;
}

bool gateway::is_sender(time_point now, const dispatch::target& target) const
{
    return this->is_in_own_region(target) &&
           this->senders.is_sender(now, target.info(), this->sender_count(now, target));
}

bool gateway::admit_write(dispatch::target& target, dispatch::request_fingerprint fingerprint)
{
    const auto now = shell::monotonic_now();
    if (this->is_barred(now, fingerprint)) {
        this->metrics.count_withheld();
        return false;
    }
    if (this->is_limit_probe_due(now, target)) {
        this->defer_limit_probe(now, target);
        target.record_write(now);
        this->contact.record_request(now, target.info().id);
        return true;
    }
    const bool may_send = !target.is_shared_out(now) || this->is_sender(now, target);
    const bool exceeds_cold_rate =
        target.is_cold(now) &&
        target.writes_in_last_second(now) >= this->cold_split(target.info().service).per_sender;
    if (!may_send || exceeds_cold_rate || target.wait_for_limit(now) > duration{}) {
        this->metrics.count_withheld();
        return false;
    }
    target.record_write(now);
    this->contact.record_request(now, target.info().id);
    return true;
}

void gateway::decline(request_state& state, dispatch::target& target, const std::string& sender,
                      std::string_view reason)
{
    constexpr std::chrono::milliseconds unfit_ejection{300};
    const auto now = shell::monotonic_now();
    ++state.declines;
    state.last_declined_wait = std::max<duration>(unfit_ejection, target.wait_for_limit(now));
    target.eject(now + unfit_ejection);
    this->events->write(shell::event{"declined"}
                            .with("request", state.id)
                            .with("target", target.info().id)
                            .with("owner", sender)
                            .with("reason", reason));
}

boost::asio::awaitable<std::optional<send_result>>
gateway::forward_to_sender(request_state& state, const std::string& sender,
                           outgoing_request outgoing)
{
    const auto started = shell::monotonic_now();
    const auto target = outgoing.placement.target;
    handoff_request handoff{0,
                            target->info().id,
                            outgoing.route,
                            outgoing.service,
                            outgoing.request_id,
                            outgoing.fingerprint,
                            outgoing.object,
                            std::move(outgoing.request_bytes),
                            outgoing.is_head,
                            outgoing.at_most_once,
                            state.deadline - started,
                            state.objective_deadline - started,
                            state.priority,
                            target->remaining_cold_time(started),
                            target->limit()};
    target->begin_request(started, outgoing.object);
    auto forwarded =
        co_await this->forwarder->forward(sender, std::move(handoff), state.request->control);
    if (forwarded.late) {
        this->add_late_reply(state, std::move(forwarded.late));
    }
    auto reply = std::move(forwarded.outcome);
    const auto now = shell::monotonic_now();
    const bool sent = reply && reply->declined == decline_reason::none;
    const auto outcome =
        sent && forwarded.tells_of_target ? reply->result.outcome : send_outcome::abandoned;
    // The sender measures how fast the target responds. This host records only the end and
    // the outcome of the request, which affect its choice of targets.
    target->end_request(now, outcome, {}, {}, std::nullopt);
    if (reply) {
        target->record_occupancy(now, reply->at_target + target->in_flight());
        this->record_signals(now, *target, reply->result.signals, state.id);
    }
    if (!sent) {
        ++state.declines;
        state.last_declined_wait = reply ? reply->expected_wait : fractional_ms{};
        if (reply && reply->declined == decline_reason::full && target->limit()) {
            // Its other senders may have room sooner.
            target->postpone(now, std::chrono::duration_cast<duration>(
                                      reply->expected_wait / dispatch::shared_rate::senders));
        }
        if (reply && reply->declined == decline_reason::unfit) {
            constexpr std::chrono::milliseconds unfit_ejection{300};
            target->eject(now + unfit_ejection);
        }
        this->events->write(
            shell::event{"declined"}
                .with("request", state.id)
                .with("target", target->info().id)
                .with("owner", sender)
                .with("reason", reply ? decline_name(reply->declined) : "unreachable")
                .with("at_target", reply ? reply->at_target : 0));
        co_return std::nullopt;
    }
    ++state.attempts;
    state.may_have_run = state.may_have_run || reply->result.may_have_run;
    if (reply->result.target_refuses) {
        this->record_crash(*target, state.id, state.fingerprint, now);
    }
    if (is_completed(reply->result)) {
        this->record_completion(state);
    }
    outgoing.placement.object_sent_recently = reply->object_sent_recently;
    outgoing.placement.wait = reply->expected_wait;
    this->update_work_estimate(outgoing, reply->result, reply->took);
    co_return std::move(reply->result);
}

// Updates the estimate of processing time for the route from the time that an attempt took.
void gateway::update_work_estimate(const outgoing_request& outgoing, const send_result& result,
                                   fractional_ms took)
{
    // The time shows the processing time only if the request didn't queue at the target. Requests
    // that name no object on a route with affinity are probes and say nothing about it.
    const bool no_wait = outgoing.placement.wait == fractional_ms{};
    if (result.outcome == send_outcome::answered && no_wait && outgoing.object != 0) {
        this->work_estimate_for(outgoing.route, outgoing.service)
            .add_sample(outgoing.placement, took);
    }
}

boost::asio::awaitable<send_result> gateway::send_directly(std::shared_ptr<send_control> control,
                                                           outgoing_request outgoing)
{
    const auto started = shell::monotonic_now();
    const auto target = outgoing.placement.target;
    const auto& domain = target->info().domain;
    const auto connect_limit = this->connect_timeout(target->info().domain);
    target->begin_request(started, outgoing.object);
    target_request request{target->info().id,
                           target->info().target_endpoint,
                           outgoing.request_id,
                           std::move(outgoing.request_bytes),
                           outgoing.is_head,
                           outgoing.at_most_once ? duration{max_idle_at_most_once}
                                                 : duration{max_idle_repeatable},
                           connect_limit,
                           &this->header_names,
                           [self = shared_from_this(), target, fingerprint = outgoing.fingerprint] {
                               return self->admit_write(*target, fingerprint);
                           },
                           outgoing.deadline - target_network_delay};
    const auto failures_before = target->consecutive_failures();
    auto result =
        co_await send_to_target(this->connections, std::move(control), std::move(request));
    const auto now = shell::monotonic_now();
    const fractional_ms took = now - started;
    if (result.connect_time) {
        this->delays.record_connect(domain, *result.connect_time);
    }
    else if (result.connect_timed_out) {
        this->delays.record_timeout(domain);
    }
    const auto& placement = outgoing.placement;
    const bool comparable = placement.wait == fractional_ms{} &&
                            (placement.object_sent_recently || !placement.warm) &&
                            outgoing.object != 0;
    target->end_request(now, result.outcome, took, comparable ? placement.total() : fractional_ms{},
                        result.load);
    if (result.load) {
        this->observe_load(now, *target, *result.load, now - started);
    }
    this->record_signals(now, *target, result.signals, outgoing.request_id);
    this->update_work_estimate(outgoing, result, took - placement.network_delay);
    this->record_contact(now, *target, result);
    if (result.outcome == send_outcome::not_reached && !this->contact.is_cut_off()) {
        // The target may have been restarted by the time it can be reached again.
        const auto* service_settings = this->routes.find_service(outgoing.service);
        target->assume_cold_after_outage(
            now + (service_settings == nullptr ? duration{} : service_settings->cold_time));
    }
    if (result.is_too_long) {
        this->metrics.count_too_long_answer();
        this->events->write(shell::event{"answer_too_long"}
                                .with("request", outgoing.request_id)
                                .with("target", target->info().id));
    }
    this->log_ejection_change(now, *target, failures_before, result);
    if (result.outcome == send_outcome::broken && result.is_connection_lost) {
        result.target_refuses = co_await this->has_crashed(target);
        if (result.target_refuses) {
            this->record_crash(*target, outgoing.request_id, outgoing.fingerprint, now);
        }
    }
    if (result.outcome != send_outcome::withheld) {
        this->metrics.observe_send(target->info().domain, outcome_name(result.outcome),
                                   now - started);
    }
    if (result.outcome != send_outcome::answered || this->events->takes_usual()) {
        this->events->write(
            shell::event{"sent"}
                .with("request", outgoing.request_id)
                .with("service", outgoing.service)
                .with("target", target->info().id)
                .with("fingerprint", outgoing.fingerprint.value())
                .with("object", outgoing.object)
                .with("warm", placement.warm)
                .with("expected_ms", std::chrono::duration_cast<duration>(placement.total()))
                .with("wait_ms", std::chrono::duration_cast<duration>(placement.wait))
                .with("at_target", target->occupancy(now))
                .with("cold", target->is_cold(now))
                .with("limit_per_s", target->limit().value_or(0.0))
                .with("forwarded", outgoing.forwarded)
                .with("connect_ms", result.connect_time.value_or(duration{}))
                .with("connect_limit_ms", connect_limit)
                .with("connection_reused", result.connection_reused)
                .with("outcome", outcome_name(result.outcome))
                .with("target_refuses", result.target_refuses)
                .with("took_ms", now - started));
    }
    co_return result;
}

void gateway::observe_load(time_point now, const dispatch::target& target,
                           const dispatch::load_report& load, duration took)
{
    if (!this->settings.tells_target_loads) {
        return;
    }
    constexpr double new_time_weight = 0.05;
    const auto [typical, is_first] = this->typical_times.try_emplace(target.info().service, took);
    if (!is_first) {
        typical->second += (fractional_ms{took} - typical->second) * new_time_weight;
    }
    this->loads.observe(now, dispatch::make_target_key(target.info().id),
                        load.running + load.waiting, target.slots());
}

std::vector<dispatch::told_load> gateway::report_loads()
{
    return this->loads.news_since(shell::monotonic_now(), this->reported_loads,
                                  dispatch::news_scope::observed);
}

void gateway::apply_told_loads(time_point now, const std::vector<dispatch::told_load>& told)
{
    if (!this->settings.tells_target_loads) {
        return;
    }
    for (const auto& each : told) {
        const auto target = this->targets_by_key.find(each.target);
        if (target == this->targets_by_key.end()) {
            continue;
        }
        const auto typical = this->typical_times.find(target->second->info().service);
        const bool is_known = typical != this->typical_times.end();
        if (is_known &&
            dispatch::is_useful(each.age, std::chrono::duration_cast<duration>(typical->second))) {
            target->second->record_occupancy(now - each.age, each.requests);
        }
    }
}

void gateway::record_signals(time_point now, dispatch::target& target,
                             const target_signals& signals, std::string_view request_id)
{
    if (signals.leaves && target.record_leaving(now)) {
        this->metrics.count_leaving_target("answer");
        this->events->write(shell::event{"target_leaves"}
                                .with("target", target.info().id)
                                .with("learned_from", "answer")
                                .with("request", request_id));
    }
    if (signals.rest) {
        target.record_rest(now, *signals.rest);
        this->metrics.count_rest();
        this->events->write(shell::event{"target_rests"}
                                .with("target", target.info().id)
                                .with("request", request_id)
                                .with("asked_ms", *signals.rest)
                                .with("rest_ms", target.remaining_rest(now)));
    }
    if (signals.has_unreadable_rest && target.record_unreadable_rest()) {
        this->events->write(shell::event{"rest_unreadable"}
                                .with("target", target.info().id)
                                .with("request", request_id));
    }
    this->record_limit(now, target, signals, request_id);
}

void gateway::defer_limit_probe(time_point now, dispatch::target& target) const
{
    if (target.limit()) {
        target.set_limit_probe(now + dispatch::limit_probe_delay(*target.limit(),
                                                                 this->entry_hosts.hosts(),
                                                                 this->entry_hosts.rank()));
    }
}

void gateway::record_limit(time_point now, dispatch::target& target, const target_signals& signals,
                           std::string_view request_id)
{
    const bool is_new_limit = signals.limit && target.record_limit(now, *signals.limit);
    if (is_new_limit) {
        this->defer_limit_probe(now, target);
        this->metrics.count_limit();
        this->events->write(shell::event{"target_limits"}
                                .with("target", target.info().id)
                                .with("request", request_id)
                                .with("named_per_s", *signals.limit)
                                .with("limit_per_s", *target.limit())
                                .with("sender", this->is_sender(now, target)));
    }
    if (signals.has_no_limit && target.lift_limit()) {
        this->events->write(shell::event{"target_limit_lifted"}
                                .with("target", target.info().id)
                                .with("request", request_id));
    }
    if (signals.has_unreadable_limit && target.record_unreadable_limit()) {
        this->events->write(shell::event{"limit_unreadable"}
                                .with("target", target.info().id)
                                .with("request", request_id));
    }
}

void gateway::log_leaving(const std::vector<dispatch::target_info>& changed)
{
    for (const auto& info : changed) {
        const auto known = this->board.find(info.id);
        if (info.draining && known != nullptr && !known->info().draining) {
            this->metrics.count_leaving_target("list");
            this->events->write(shell::event{"target_leaves"}
                                    .with("target", info.id)
                                    .with("learned_from", "list")
                                    .with("said_before", known->leaving_since().has_value()));
        }
    }
}

// Logs when a target is ejected after failures or has recovered.
void gateway::log_ejection_change(time_point now, const dispatch::target& target,
                                  std::uint32_t failures_before, const send_result& result)
{
    const bool is_ejected = target.is_ejected(now);
    const bool has_recovered = failures_before > 0 && target.consecutive_failures() == 0;
    if (target.consecutive_failures() == failures_before || !(is_ejected || has_recovered)) {
        return;
    }
    this->events->write(
        shell::event{is_ejected ? "target_bad" : "target_well"}
            .with("target", target.info().id)
            .with("domain", target.info().domain)
            .with("failures", std::max(target.consecutive_failures(), failures_before))
            .with("outcome", outcome_name(result.outcome))
            .with("cold", target.is_cold(now)));
}

dispatch::placement_request gateway::make_handoff_question(const handoff_request& handoff)
{
    const auto now = shell::monotonic_now();
    dispatch::placement_request question;
    question.now = now;
    question.service = handoff.service;
    question.key = handoff.object;
    question.sticky = handoff.object != 0;
    question.domain = this->settings.domain;
    question.region = this->region;
    question.delays = &this->delays;
    question.remaining_time = handoff.remaining_time;
    question.remaining_objective = handoff.remaining_objective_time;
    question.priority = handoff.priority;
    question.cold_allowance = this->cold_split(handoff.service).per_sender;
    question.remote_share = this->remote_object_share(now, handoff.service);
    return question;
}

// Decides, as a sender of the target, whether to send a forwarded request. Returns nullopt and sets
// the reason in `out` if not.
std::optional<dispatch::placement> gateway::admit_handoff(const handoff_request& handoff,
                                                          handoff_outcome& out)
{
    const auto now = shell::monotonic_now();
    if (this->is_barred(now, handoff.fingerprint)) {
        out.declined = decline_reason::suspect;
        return std::nullopt;
    }
    out.declined = decline_reason::unfit;
    const auto target = this->board.find(handoff.target);
    if (!target || this->is_stopping() || this->contact.is_cut_off()) {
        return std::nullopt;
    }
    // The other host may be the first to know why the target accepts only few requests.
    target->assume_cold(now + std::chrono::duration_cast<duration>(handoff.remaining_cold_time));
    if (handoff.limit && !target->limit()) {
        target->record_limit(now, *handoff.limit);
    }
    if (target->is_shared_out(now) && !this->is_sender(now, *target)) {
        return std::nullopt;
    }
    if (const auto wait = target->wait_for_limit(now); wait > duration{}) {
        out.expected_wait = wait;
        out.declined = decline_reason::full;
        return std::nullopt;
    }
    const auto question = this->make_handoff_question(handoff);
    const auto placement = dispatch::place_on_target(
        this->board, question, target, this->work_estimate_for(handoff.route, handoff.service));
    out.at_target = static_cast<std::uint32_t>(std::lround(target->occupancy(now)));
    if (!placement) {
        out.expected_wait = placement.error().retry_after;
        const bool no_target = placement.error().reason == dispatch::placement_failure::no_target;
        out.declined = no_target ? decline_reason::unfit : decline_reason::full;
        return std::nullopt;
    }
    out.declined = decline_reason::none;
    out.object_sent_recently = placement->object_sent_recently;
    out.expected_wait = placement->wait;
    return *placement;
}

boost::asio::awaitable<handoff_outcome>
gateway::serve_handoff(std::shared_ptr<const handoff_request> handoff,
                       std::shared_ptr<send_control> control)
{
    const auto self = shared_from_this();
    const auto started = shell::monotonic_now();
    handoff_outcome out;
    if (handoff->selects_target()) {
        co_await this->serve_relayed(handoff, control, out);
        out.took = shell::monotonic_now() - started;
        co_return out;
    }
    const auto placement = this->admit_handoff(*handoff, out);
    if (!placement) {
        co_return out;
    }
    boost::asio::steady_timer timer{*this->context};
    timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        handoff->remaining_time + forwarded_response_wait));
    timer.async_wait([control](const boost::system::error_code& error) {
        if (!error) {
            control->deadline_passed = true;
            control->abort();
        }
    });
    ++this->in_flight;
    outgoing_request outgoing{*placement,
                              handoff->route,
                              handoff->service,
                              handoff->request_id,
                              handoff->fingerprint,
                              handoff->object,
                              handoff->request_bytes,
                              handoff->is_head,
                              handoff->at_most_once,
                              started +
                                  std::chrono::duration_cast<duration>(handoff->remaining_time),
                              true};
    out.result = co_await this->send_directly(control, std::move(outgoing));
    --this->in_flight;
    if (out.result.outcome == send_outcome::withheld) {
        const auto wait = placement->target->wait_for_limit(shell::monotonic_now());
        out.declined = wait > duration{} ? decline_reason::full : decline_reason::unfit;
        out.expected_wait = wait;
        out.result = {};
    }
    const auto now = shell::monotonic_now();
    out.took = now - started;
    out.at_target = static_cast<std::uint32_t>(std::lround(placement->target->occupancy(now)));
    co_return out;
}

} // namespace bth::gateway
