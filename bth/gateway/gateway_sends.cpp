#include "bth/gateway/gateway.h"

#include "bth/gateway/internal/request_path.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

// g++ 12 takes the frames that Asio allocates for coroutines for wrongly freed when it inlines
// them.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bth::gateway {

namespace {

using dispatch::fractional_ms;
using dispatch::send_outcome;
using internal::late_answer_wait;
using internal::view;
using route::repeatability;

// The time that a target is told is shorter than what is left by the way there and back.
constexpr std::chrono::milliseconds target_margin{10};
// Connections that a repeatable request may use after so long an idle time, and the others, for
// which a dead connection means a lost answer.
constexpr std::chrono::seconds most_idle_repeatable{8};
constexpr std::chrono::seconds most_idle_once{3};
// A target accepts within a few milliseconds, and between regions within 50; a lost opening packet
// comes again only after a second, so that another target is faster than waiting for it.
constexpr std::chrono::milliseconds connect_limit_near{80};
constexpr std::chrono::milliseconds connect_limit_far{200};

std::string_view name_of(send_outcome outcome)
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
    }
    return "unknown";
}

} // namespace

std::string gateway::request_bytes(const passage& now_at, const dispatch::placement& where,
                                   time_point now) const
{
    const auto& head = now_at.request->head;
    const auto options = view(head[http::field::connection]);
    std::string out{view(head.method_string())};
    out += ' ';
    out += view(head.target());
    out += " HTTP/1.1\r\n";
    const auto is = [](std::string_view name, const std::string& other) {
        return boost::beast::iequals({name.data(), name.size()}, other);
    };
    for (const auto& each : head) {
        const auto name = view(each.name_string());
        if (is_connection_field(name, options) || is(name, this->names.time_left_ms) ||
            is(name, this->names.expected_target) || is(name, "Expect")) {
            continue;
        }
        out += name;
        out += ": ";
        out += view(each.value());
        out += "\r\n";
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(now_at.due - now - target_margin);
    out +=
        this->names.time_left_ms + ": " + std::to_string(std::max<std::int64_t>(left.count(), 1));
    out += "\r\n" + this->names.expected_target + ": " + where.where->facts().id + "\r\n";
    const bool has_length = !head.body().empty() || head.method() == http::verb::post ||
                            head.method() == http::verb::put || head.method() == http::verb::patch;
    if (has_length) {
        out += "Content-Length: " + std::to_string(head.body().size()) + "\r\n";
    }
    return out + "\r\n" + head.body();
}

boost::asio::awaitable<std::optional<send_result>> gateway::send(passage& now_at,
                                                                 const dispatch::placement& where)
{
    const auto target = where.where;
    sending what{where,
                 now_at.way->name,
                 now_at.service,
                 now_at.id,
                 now_at.key,
                 this->request_bytes(now_at, where, shell::monotonic_now()),
                 now_at.request->head.method() == http::verb::head,
                 now_at.way->repeat == repeatability::at_most_once};
    now_at.tried.push_back(target);
    const auto owner = this->sender_to(*target);
    if (owner != this->settings.name) {
        co_return co_await this->hand_over(now_at, owner, std::move(what));
    }
    ++now_at.sends;
    auto got = co_await this->send_directly(now_at.request->control, std::move(what));
    now_at.may_have_run = now_at.may_have_run || got.may_have_run;
    co_return got;
}

// Which host sends to a target. Only a cold target's owner knows how many requests all hosts send
// it, and few are borne. To others each host sends by itself: handing over takes the bytes of a
// request and its answer over two more links of hosts, and a busy link makes more answers late than
// a queue that is known better makes timely.
std::string gateway::sender_to(const dispatch::target& target) const
{
    const bool near = this->board.region_of(target.facts().domain) == this->region;
    const bool by_owner = near && target.is_cold(shell::monotonic_now());
    return by_owner ? this->owner_of(target.facts()) : this->settings.name;
}

boost::asio::awaitable<std::optional<send_result>>
gateway::hand_over(passage& now_at, const std::string& owner, sending what)
{
    const auto begun = shell::monotonic_now();
    const auto target = what.where.where;
    handoff_order order{0,
                        target->facts().id,
                        what.route,
                        what.service,
                        what.request_id,
                        what.object,
                        std::move(what.bytes),
                        what.to_head,
                        what.once,
                        now_at.due - begun,
                        now_at.objective_due - begun,
                        now_at.way->priority};
    target->begin(begun, what.object);
    auto done = co_await this->desk->hand(owner, std::move(order), now_at.request->control);
    const auto now = shell::monotonic_now();
    const bool sent = done && done->declined == decline::none;
    const auto outcome = sent ? done->result.outcome : send_outcome::abandoned;
    // The owner judges how fast the target is; this host only keeps what concerns the choice.
    target->end(now, outcome, {}, {}, std::nullopt);
    if (done) {
        target->take_occupancy(now, done->at_target + target->in_flight());
    }
    if (!sent) {
        ++now_at.declined;
        now_at.declined_wait = done ? done->wait : fractional_ms{};
        if (done && done->declined == decline::unfit) {
            constexpr std::chrono::milliseconds left_alone{300};
            target->eject(now + left_alone);
        }
        this->events->write(shell::event{"declined"}
                                .with("request", now_at.id)
                                .with("target", target->facts().id)
                                .with("owner", owner)
                                .with("reason", !done                             ? "unreachable"
                                                : done->declined == decline::full ? "full"
                                                                                  : "unfit")
                                .with("at_target", done ? done->at_target : 0));
        co_return std::nullopt;
    }
    ++now_at.sends;
    now_at.may_have_run = now_at.may_have_run || done->result.may_have_run;
    what.where.known = done->known;
    what.where.wait = done->wait;
    this->learn(what, done->result, done->took);
    co_return std::move(done->result);
}

// Takes what an answer tells about the work of its route.
void gateway::learn(const sending& what, const send_result& got, fractional_ms took)
{
    // The target's own way of working shows when nothing else waited there. Requests that name no
    // object on a route of objects are probes; they tell nothing.
    const bool alone = what.where.wait == fractional_ms{};
    if (got.outcome == send_outcome::answered && alone && what.object != 0) {
        this->work_of(what.route, what.service).learn(what.where, took);
    }
}

boost::asio::awaitable<send_result> gateway::send_directly(std::shared_ptr<send_control> control,
                                                           sending what)
{
    const auto begun = shell::monotonic_now();
    const auto target = what.where.where;
    const bool near = this->board.region_of(target->facts().domain) == this->region;
    target->begin(begun, what.object);
    send_order order{target->facts().id,
                     target->facts().where,
                     what.request_id,
                     std::move(what.bytes),
                     what.to_head,
                     what.once ? duration{most_idle_once} : duration{most_idle_repeatable},
                     near ? duration{connect_limit_near} : duration{connect_limit_far},
                     &this->names};
    const auto failures_before = target->failures();
    auto got = co_await send_to(this->pool, std::move(control), std::move(order));
    const auto now = shell::monotonic_now();
    const fractional_ms took = now - begun;
    const auto& where = what.where;
    const bool comparable =
        where.wait == fractional_ms{} && (where.known || !where.warm) && what.object != 0;
    target->end(now, got.outcome, took, comparable ? where.total() : fractional_ms{}, got.load);
    this->learn(what, got, took - where.way);
    if (got.outcome == send_outcome::not_reached) {
        // When it can be reached again it may have been started anew.
        const auto* known = this->table.find_service(what.service);
        target->assume_cold(now + (known == nullptr ? duration{} : known->cold_time));
    }
    this->note_belief(now, *target, failures_before, got);
    this->metrics.observe_send(target->facts().domain, name_of(got.outcome), now - begun);
    if (got.outcome != send_outcome::answered || this->events->takes_usual()) {
        this->events->write(
            shell::event{"sent"}
                .with("request", what.request_id)
                .with("service", what.service)
                .with("target", target->facts().id)
                .with("object", what.object)
                .with("warm", where.warm)
                .with("expected_ms", std::chrono::duration_cast<duration>(where.total()))
                .with("wait_ms", std::chrono::duration_cast<duration>(where.wait))
                .with("at_target", target->occupancy(now))
                .with("outcome", name_of(got.outcome))
                .with("took_ms", now - begun));
    }
    co_return got;
}

// Tells when a target begins or ends to be left alone.
void gateway::note_belief(time_point now, const dispatch::target& target,
                          std::uint32_t failures_before, const send_result& got)
{
    const bool is_bad = target.is_ejected(now);
    const bool is_well_again = failures_before > 0 && target.failures() == 0;
    if (target.failures() == failures_before || !(is_bad || is_well_again)) {
        return;
    }
    this->events->write(shell::event{is_bad ? "target_bad" : "target_well"}
                            .with("target", target.facts().id)
                            .with("domain", target.facts().domain)
                            .with("failures", std::max(target.failures(), failures_before))
                            .with("outcome", name_of(got.outcome))
                            .with("cold", target.is_cold(now)));
}

// Whether an order is worth sending, as this host knows its target; `out` tells why not.
std::optional<dispatch::placement> gateway::judge_order(const handoff_order& order,
                                                        handoff_outcome& out)
{
    const auto now = shell::monotonic_now();
    out.declined = decline::unfit;
    const auto target = this->board.find(order.target);
    if (!target || this->stopping) {
        return std::nullopt;
    }
    dispatch::placement_question question;
    question.now = now;
    question.service = order.service;
    question.key = order.object;
    question.sticky = order.object != 0;
    question.domain = this->settings.domain;
    question.region = this->region;
    question.time_left = order.time_left;
    question.objective_left = order.objective_left;
    question.priority = order.priority;
    question.cold_allowance = this->cold_allowance(order.service);
    question.away = this->away_share(now, order.service);
    const auto found = dispatch::place_at(this->board, question, target,
                                          this->work_of(order.route, order.service));
    out.at_target = static_cast<std::uint32_t>(std::lround(target->occupancy(now)));
    if (!found) {
        out.wait = found.error().come_back;
        const bool no_use = found.error().why == dispatch::placement_failure::no_target;
        out.declined = no_use ? decline::unfit : decline::full;
        return std::nullopt;
    }
    out.declined = decline::none;
    out.known = found->known;
    out.wait = found->wait;
    return *found;
}

boost::asio::awaitable<handoff_outcome>
gateway::serve_order(std::shared_ptr<const handoff_order> order,
                     std::shared_ptr<send_control> control)
{
    const auto self = shared_from_this();
    const auto begun = shell::monotonic_now();
    handoff_outcome out;
    const auto found = this->judge_order(*order, out);
    if (!found) {
        co_return out;
    }
    boost::asio::steady_timer timer{*this->context};
    timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        order->time_left + late_answer_wait));
    timer.async_wait([control](const boost::system::error_code& error) {
        if (!error) {
            control->out_of_time = true;
            control->abort();
        }
    });
    ++this->in_flight;
    sending what{*found,        order->route, order->service, order->request_id,
                 order->object, order->bytes, order->to_head, order->once};
    out.result = co_await this->send_directly(control, std::move(what));
    --this->in_flight;
    const auto now = shell::monotonic_now();
    out.took = now - begun;
    out.at_target = static_cast<std::uint32_t>(std::lround(found->where->occupancy(now)));
    co_return out;
}

} // namespace bth::gateway
