// The part of gateway that deals with the loss of this host's way to all targets.
#include "bth/gateway/gateway.h"

#include "bth/gateway/internal/request_path.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports false mismatches of new and delete for the coroutine frames that Asio allocates
// when it inlines their allocation.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bth::gateway {

namespace {

using dispatch::send_outcome;
using internal::decline_name;
using internal::is_completed;
using internal::probe_hold;

constexpr std::chrono::milliseconds contact_poll_interval{20};
// The longest time that a request waits for the test of a suspicion; probes end within the connect
// time-out.
constexpr std::chrono::milliseconds max_contact_test_time{300};
// The most hosts to which a request is relayed, one after the other, and the most targets that a
// host tries for a relayed request.
constexpr std::size_t max_relay_tries = 3;
constexpr std::size_t max_relayed_targets = 3;

std::string with_expected_target(const handoff_request& handoff, const std::string& field,
                                 const std::string& target)
{
    // Behind the request line.
    auto bytes = handoff.request_bytes;
    const auto line_end = bytes.find("\r\n");
    if (line_end != std::string::npos) {
        bytes.insert(line_end, "\r\n" + field + ": " + target);
    }
    return bytes;
}

} // namespace

duration gateway::connect_timeout(const std::string& domain) const
{
    const auto from_here = dispatch::distance_between(this->settings.domain, this->region, domain,
                                                      this->board.region_of(domain));
    return std::chrono::duration_cast<duration>(this->delays.connect_timeout(domain, from_here));
}

void gateway::record_contact(time_point now, const dispatch::target& target,
                             const send_result& result)
{
    const auto& id = target.info().id;
    switch (result.outcome) {
    case send_outcome::answered:
    case send_outcome::shed:
    case send_outcome::misdirected:
    case send_outcome::failed:
        this->contact.record_answer(now, id, result.connect_time.has_value());
        break;
    case send_outcome::not_reached:
        this->contact.record_withdrawal(id);
        this->contact.record_failure(now, id);
        break;
    case send_outcome::broken:
        this->contact.record_withdrawal(id);
        if (result.connect_time && result.is_connection_lost) {
            this->contact.record_failure(now, id);
        }
        break;
    case send_outcome::abandoned:
    case send_outcome::withheld:
        this->contact.record_withdrawal(id);
        break;
    case send_outcome::timed_out:
        // It still owes an answer, as far as this host can tell.
        break;
    }
    this->start_watching_contact(now);
}

void gateway::start_watching_contact(time_point now)
{
    if (this->contact.needs_probes(now) && !std::exchange(this->watches_contact, true)) {
        boost::asio::co_spawn(
            *this->context, [self = shared_from_this()] { return self->watch_contact(); },
            boost::asio::detached);
    }
}

boost::asio::awaitable<void> gateway::watch_contact()
{
    const auto self = shared_from_this();
    boost::asio::steady_timer timer{*this->context};
    while (true) {
        std::vector<dispatch::target_ptr> targets;
        for (const auto& id : this->contact.choose_probes(this->board.ids())) {
            if (auto target = this->board.find(id)) {
                targets.push_back(std::move(target));
            }
        }
        auto hosts = this->choose_probed_hosts();
        const auto results = co_await this->probe_all(std::move(targets), std::move(hosts));
        const auto now = shell::monotonic_now();
        if (this->contact.record_probes(now, results.targets, results.neighbours)) {
            this->events->write(shell::event{"targets_probed"}
                                    .with("targets", results.targets.probed)
                                    .with("reached", results.targets.reached)
                                    .with("timed_out", results.targets.timed_out)
                                    .with("neighbours", results.neighbours.probed)
                                    .with("neighbours_reached", results.neighbours.reached)
                                    .with("neighbours_timed_out", results.neighbours.timed_out),
                                shell::event_weight::essential);
            this->apply_contact_change(now);
        }
        else if (this->contact.is_link_full()) {
            // What failed says nothing of the targets.
            this->board.forget_failures();
            this->events->write(shell::event{"link_full"}
                                    .with("targets", results.targets.timed_out)
                                    .with("neighbours", results.neighbours.timed_out));
        }
        if (!this->contact.is_cut_off()) {
            break;
        }
        timer.expires_after(dispatch::target_contact::return_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    this->watches_contact = false;
}

std::vector<gateway::probed_host> gateway::choose_probed_hosts()
{
    std::vector<probed_host> out;
    if (!this->host_resolver) {
        return out;
    }
    const auto ready = this->senders.ready_hosts();
    for (const auto& name : this->contact.choose_neighbours(ready, this->settings.domain)) {
        const auto host = std::find_if(ready.begin(), ready.end(),
                                       [&](const auto& each) { return each.name == name; });
        if (const auto address = this->host_resolver(name)) {
            out.push_back({*address, this->connect_timeout(host->domain)});
        }
    }
    return out;
}

boost::asio::awaitable<gateway::contact_results>
gateway::probe_all(std::vector<dispatch::target_ptr> targets, std::vector<probed_host> hosts)
{
    struct probe_round {
        explicit probe_round(boost::asio::io_context& context) : settled{context} {}

        bool is_settled() const
        {
            return this->pending_targets == 0 &&
                   (this->pending_hosts == 0 || this->results.neighbours.reached > 0 ||
                    !dispatch::target_contact::needs_neighbours(this->results.targets));
        }

        std::size_t pending_targets{};
        std::size_t pending_hosts{};
        contact_results results;
        // Never expires; cancelled when enough probes have ended.
        boost::asio::steady_timer settled;
    };
    const auto round = std::make_shared<probe_round>(*this->context);
    round->results.targets.probed = round->pending_targets = targets.size();
    round->results.neighbours.probed = round->pending_hosts = hosts.size();
    round->settled.expires_at(std::chrono::steady_clock::time_point::max());
    for (const auto& target : targets) {
        boost::asio::co_spawn(
            *this->context,
            [self = shared_from_this(), round, target]() -> boost::asio::awaitable<void> {
                const auto timeout = self->connect_timeout(target->info().domain);
                // A named object, since g++ 12 destroys temporaries in the operand of co_await
                // twice.
                std::string id = target->info().id;
                const auto reachability =
                    co_await probe_target(self->connections, std::move(id),
                                          target->info().target_endpoint, timeout, probe_hold);
                auto& results = round->results.targets;
                results.reached += reachability == target_reachability::accepts ? 1 : 0;
                results.timed_out += reachability == target_reachability::silent ? 1 : 0;
                --round->pending_targets;
                if (round->is_settled()) {
                    round->settled.cancel();
                }
            },
            boost::asio::detached);
    }
    for (const auto& host : hosts) {
        boost::asio::co_spawn(
            *this->context,
            [round, host]() -> boost::asio::awaitable<void> {
                const auto reachability = co_await probe_process(host.address, host.timeout);
                auto& results = round->results.neighbours;
                // A refusal has come over this host's link as well.
                results.reached += reachability == target_reachability::accepts ||
                                           reachability == target_reachability::refuses
                                       ? 1
                                       : 0;
                results.timed_out += reachability == target_reachability::silent ? 1 : 0;
                --round->pending_hosts;
                if (round->is_settled()) {
                    round->settled.cancel();
                }
            },
            boost::asio::detached);
    }
    if (!round->is_settled()) {
        boost::system::error_code ignored;
        co_await round->settled.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return round->results;
}

void gateway::apply_contact_change(time_point now)
{
    const bool is_cut_off = this->contact.is_cut_off();
    if (is_cut_off) {
        // What is kept may be silently dead, and what failed says nothing of the targets.
        this->connections.clear();
    }
    this->board.forget_failures();
    this->relay_hosts.clear();
    this->metrics.set_cut_off(is_cut_off);
    this->events->write(shell::event{is_cut_off ? "targets_lost" : "targets_reached_again"}
                            .with("neighbours", this->senders.ready_hosts().size())
                            .with("in_contact", this->senders.is_in_contact(now)),
                        shell::event_weight::essential);
    if (this->reach_handler) {
        this->reach_handler(!is_cut_off);
    }
}

boost::asio::awaitable<void> gateway::await_contact_test()
{
    const auto self = shared_from_this();
    const auto until = shell::monotonic_now() + max_contact_test_time;
    boost::asio::steady_timer timer{*this->context};
    while (this->watches_contact && !this->contact.is_cut_off() && shell::monotonic_now() < until) {
        timer.expires_after(contact_poll_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

// Returns the hosts to which a request may be relayed, another one first for each request.
std::vector<std::string> gateway::relay_candidates(const request_state& state)
{
    std::vector<fleet::relay_host> known = this->relay_hosts;
    if (known.empty()) {
        for (const auto& each : this->senders.ready_hosts()) {
            known.push_back({each.name, each.domain});
        }
    }
    const auto& regions = state.allowed_regions;
    std::vector<std::string> out;
    for (const auto& each : known) {
        const auto host_region = this->board.region_of(each.domain);
        const bool is_allowed =
            regions.empty() || host_region == this->region ||
            std::find(regions.begin(), regions.end(), host_region) != regions.end();
        if (is_allowed && each.name != this->settings.name &&
            this->forwarder->is_usable(each.name)) {
            out.push_back(each.name);
        }
    }
    if (!out.empty()) {
        const auto first = this->turn++ % out.size();
        std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(first), out.end());
    }
    return out;
}

handoff_request gateway::make_relayed_request(const request_state& state) const
{
    const auto now = shell::monotonic_now();
    handoff_request out;
    out.route = state.matched_route->name;
    out.service = state.service;
    out.request_id = state.id;
    out.fingerprint = state.fingerprint;
    out.object = state.object;
    out.request_bytes = this->request_bytes(state, nullptr, now);
    out.is_head = state.request->message.method() == http::verb::head;
    out.at_most_once = state.matched_route->repeat == route::repeatability::at_most_once;
    out.remaining_time = state.deadline - now;
    out.remaining_objective_time = state.objective_deadline - now;
    out.priority = state.priority;
    out.allowed_regions = state.allowed_regions;
    return out;
}

boost::asio::awaitable<std::optional<send_result>> gateway::relay(request_state& state)
{
    const auto self = shared_from_this();
    if (!this->forwarder) {
        co_return std::nullopt;
    }
    const auto candidates = this->relay_candidates(state);
    for (std::size_t i = 0; i < std::min(max_relay_tries, candidates.size()); ++i) {
        if (state.request->control->aborted()) {
            co_return std::nullopt;
        }
        const auto& host = candidates[i];
        auto request = this->make_relayed_request(state);
        auto forwarded =
            co_await this->forwarder->forward(host, std::move(request), state.request->control);
        if (forwarded.late) {
            this->add_late_reply(state, std::move(forwarded.late));
        }
        auto reply = std::move(forwarded.outcome);
        if (!reply || reply->declined != decline_reason::none) {
            state.last_declined_wait = reply ? reply->expected_wait : dispatch::fractional_ms{};
            this->events->write(
                shell::event{"relay_declined"}
                    .with("request", state.id)
                    .with("host", host)
                    .with("reason", reply ? decline_name(reply->declined) : "unreachable"));
            continue;
        }
        ++state.attempts;
        state.may_have_run = state.may_have_run || reply->result.may_have_run;
        if (is_completed(reply->result)) {
            this->record_completion(state);
        }
        this->metrics.count_relayed();
        if (reply->result.outcome != send_outcome::answered || this->events->takes_usual()) {
            this->events->write(
                shell::event{"relayed"}
                    .with("request", state.id)
                    .with("host", host)
                    .with("may_have_run", reply->result.may_have_run)
                    .with("took_ms", std::chrono::duration_cast<duration>(reply->took)));
        }
        co_return std::move(reply->result);
    }
    co_return std::nullopt;
}

boost::asio::awaitable<void> gateway::serve_relayed(std::shared_ptr<const handoff_request> handoff,
                                                    std::shared_ptr<send_control> control,
                                                    handoff_outcome& out)
{
    const auto self = shared_from_this();
    out.declined = decline_reason::unfit;
    if (this->is_stopping() || this->contact.is_cut_off()) {
        co_return;
    }
    if (this->is_barred(shell::monotonic_now(), handoff->fingerprint)) {
        out.declined = decline_reason::suspect;
        co_return;
    }
    const auto deadline =
        shell::monotonic_now() + std::chrono::duration_cast<duration>(handoff->remaining_time);
    boost::asio::steady_timer timer{*this->context};
    timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        handoff->remaining_time + internal::forwarded_response_wait));
    timer.async_wait([control](const boost::system::error_code& error) {
        if (!error) {
            control->deadline_passed = true;
            control->abort();
        }
    });
    auto question = this->make_handoff_question(*handoff);
    question.allowed_regions = &handoff->allowed_regions;
    std::vector<dispatch::target_ptr> tried;
    std::size_t sends = 0;
    while (sends < max_relayed_targets && !control->aborted()) {
        const auto placement = dispatch::place(
            this->board, question, this->work_estimate_for(handoff->route, handoff->service));
        if (!placement) {
            const bool no_target =
                placement.error().reason == dispatch::placement_failure::no_target;
            out.declined = no_target ? decline_reason::unfit : decline_reason::full;
            out.expected_wait =
                std::max(placement.error().retry_after, placement.error().remaining_rest);
            co_return;
        }
        const auto target = placement->target;
        tried.push_back(target);
        question.tried.push_back(target.get());
        // A relayed request is never forwarded again.
        if (this->sending_host(*target) != this->settings.name) {
            continue;
        }
        outgoing_request outgoing{
            *placement,
            handoff->route,
            handoff->service,
            handoff->request_id,
            handoff->fingerprint,
            handoff->object,
            with_expected_target(*handoff, this->header_names.expected_target, target->info().id),
            handoff->is_head,
            handoff->at_most_once,
            deadline,
            true};
        ++this->in_flight;
        auto result = co_await this->send_directly(control, std::move(outgoing));
        --this->in_flight;
        ++sends;
        if (result.outcome != send_outcome::not_reached &&
            result.outcome != send_outcome::withheld) {
            out.declined = decline_reason::none;
            out.result = std::move(result);
            out.object_sent_recently = placement->object_sent_recently;
            out.expected_wait = placement->wait;
            co_return;
        }
    }
}

} // namespace bth::gateway
