#include "bth/gateway/gateway.h"

#include "bth/dispatch/cold_share.h"
#include "bth/gateway/internal/request_path.h"
#include "bth/shell/net.h"

#include <algorithm>
#include <charconv>
#include <chrono>
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

// The part of the way that an answer still has to go to the caller.
constexpr std::chrono::milliseconds answer_margin{15};
// A repeat with less time than this has little hope.
constexpr std::chrono::milliseconds least_time_for_repeat{80};
// Bounds of the time that a refused caller is told to stay away.
constexpr std::chrono::milliseconds least_retry_after{50};
constexpr std::chrono::milliseconds most_retry_after{2000};
// Part of the cold rate that is left unused, for requests that are late on their way.
constexpr double cold_margin = 0.8;
// Hosts that may hold themselves for a target's owner while they don't hear of each other.
constexpr double most_owners = 2.5;
// Owners that may decline a request before it is refused: each costs a trip to another host.
constexpr std::uint32_t most_declines = 2;
// Targets that can't be reached before a request is refused; the host itself may be cut off.
constexpr std::uint32_t most_unreached = 3;

std::optional<std::int64_t> whole_number(std::string_view text)
{
    std::int64_t value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

// The path without the query.
std::string_view path_of(std::string_view request_target)
{
    return request_target.substr(0, request_target.find('?'));
}

std::string_view host_of(std::string_view field)
{
    return field.substr(0, field.rfind(':'));
}

refusal_reason reason_of(dispatch::placement_failure why)
{
    switch (why) {
    case dispatch::placement_failure::too_late:
        return refusal_reason::deadline;
    case dispatch::placement_failure::overload:
        return refusal_reason::queue_full;
    case dispatch::placement_failure::no_target:
        break;
    }
    return refusal_reason::no_target;
}

bool promises_not_run(unsigned status)
{
    const auto named = static_cast<http::status>(status);
    return named == http::status::service_unavailable || named == http::status::too_many_requests ||
           named == http::status::request_timeout || named == http::status::misdirected_request;
}

retry_reason retry_reason_of(const send_result& got)
{
    if (got.outcome == send_outcome::not_reached) {
        return retry_reason::connect_failed;
    }
    return got.may_have_run ? retry_reason::broken : retry_reason::not_run;
}

} // namespace

gateway::gateway(boost::asio::io_context& context, gateway_settings settings, field_names names,
                 shell::event_log& events)
    : events{&events}, context{&context}, settings{std::move(settings)}, names{std::move(names)},
      board{this->settings.regions}, owners{this->settings.name, this->settings.domain}
{
    this->region = std::string{this->board.region_of(this->settings.domain)};
}

void gateway::take(const fleet::update& news, std::optional<route::configuration> configuration)
{
    const auto now = shell::monotonic_now();
    this->entry_hosts.take(now, news.entry_count, news.entry_rank);
    if (news.entry_hosts) {
        std::vector<dispatch::owner_candidate> hosts;
        for (const auto& each : *news.entry_hosts) {
            if (each.ready) {
                hosts.push_back({each.name, each.domain});
            }
        }
        this->owners.set_hosts(std::move(hosts));
        this->events->write(shell::event{"neighbours"}.with("ready", this->owners.host_count()));
    }
    const bool has_targets =
        news.targets.is_full || !news.targets.changed.empty() || !news.targets.removed.empty();
    if (has_targets) {
        this->board.apply(now, news.targets.changed, news.targets.removed, news.targets.is_full);
        const auto leaving = std::count_if(news.targets.changed.begin(), news.targets.changed.end(),
                                           [](const auto& each) { return each.draining; });
        this->events->write(shell::event{"targets"}
                                .with("whole", news.targets.is_full)
                                .with("changed", news.targets.changed.size())
                                .with("removed", news.targets.removed.size())
                                .with("leaving", leaving)
                                .with("known", this->board.size()));
    }
    if (configuration && configuration->version > this->version) {
        this->version = configuration->version;
        this->table = route::route_table{std::move(*configuration)};
        this->events->write(shell::event{"configuration"}
                                .with("version", this->version.value())
                                .with("routes", this->table.source().routes.size()),
                            shell::event_weight::essential);
    }
    if (news.evacuated && news.index >= this->index) {
        this->take_evacuated(now, *news.evacuated, news.index);
    }
    this->index = std::max(this->index, news.index);
}

void gateway::take_evacuated(time_point now, const std::set<std::string>& domains,
                             fleet::agreed_index agreed)
{
    const auto& before = this->board.evacuated_domains();
    if (std::equal(before.begin(), before.end(), domains.begin(), domains.end())) {
        return;
    }
    std::string names;
    for (const auto& each : domains) {
        names += names.empty() ? each : "," + each;
    }
    this->events->write(
        shell::event{"evacuation"}.with("domains", names).with("index", agreed.value()),
        shell::event_weight::essential);
    duration cold{};
    for (const auto& each : this->table.source().services) {
        cold = std::max(cold, each.cold_time);
    }
    this->board.set_evacuated(now, domains, cold);
}

std::string gateway::render_metrics(bool ready)
{
    return this->metrics.render({this->in_flight, this->callers, this->pool.size(),
                                 this->board.size(), this->version.value(), ready,
                                 this->events->left_out()});
}

void gateway::join(std::shared_ptr<shell::peer_link> link)
{
    const std::weak_ptr<gateway> weak = weak_from_this();
    this->desk = std::make_shared<handoff_desk>(
        *this->context, std::move(link), *this->events,
        [weak](std::shared_ptr<const handoff_order> order, std::shared_ptr<send_control> control) {
            return weak.lock()->serve_order(std::move(order), std::move(control));
        });
    this->desk->start();
}

const std::string& gateway::owner_of(const dispatch::target_facts& target) const
{
    return this->owners.owner_of(target, [this](const std::string& host) {
        return this->desk && this->desk->is_usable(host);
    });
}

// What this host may send to a cold target of its region as its owner.
std::uint32_t gateway::cold_allowance(const std::string& service) const
{
    const auto* known = this->table.find_service(service);
    const double rate = known == nullptr ? 0.0 : known->cold_rate;
    const auto& limits = this->settings.limits;
    const double limit = (rate * limits.cold_factor + limits.cold_slack) * cold_margin;
    if (this->entry_hosts.is_settled(shell::monotonic_now())) {
        return static_cast<std::uint32_t>(limit / most_owners);
    }
    return std::min<std::uint32_t>(
        dispatch::cold_share(limit, this->entry_hosts.hosts(), this->entry_hosts.rank()), 1);
}

// The part of the region's objects that other regions serve.
double gateway::away_share(time_point now, const std::string& service)
{
    dispatch::region_room room;
    for (const auto& each : this->board.of_service(service)) {
        if (this->board.may_serve(*each)) {
            const bool near = this->board.region_of(each->facts().domain) == this->region;
            (near ? room.own_slots : room.other_slots) += each->slots();
        }
    }
    room.own_hosts = static_cast<double>(this->owners.host_count());
    room.all_hosts = static_cast<double>(this->entry_hosts.hosts());
    const double wanted = dispatch::away_share(room);
    // Before all hosts are heard of, the share may be far off, and is not to be held on to.
    return this->entry_hosts.is_settled(now) ? this->away[service].move_to(now, wanted) : wanted;
}

dispatch::work_estimate& gateway::work_of(const std::string& route, const std::string& service)
{
    return this->work[route + '/' + service];
}

// Callers that are refused together don't come back together.
duration gateway::spread(fractional_ms base, time_point due)
{
    std::uniform_real_distribution<double> part{0.7, 1.5};
    const auto wanted = std::chrono::duration_cast<duration>(base * part(this->random));
    // Callers heed a time up to a third of what they have left.
    const duration heeded = std::max<duration>((due - shell::monotonic_now()) / 3, {});
    return std::clamp<duration>(std::min(wanted, heeded), least_retry_after, most_retry_after);
}

answer gateway::refuse(const passage& now_at, refusal_reason reason, duration come_back)
{
    this->metrics.count_refusal(reason, now_at.way->priority);
    const auto run = now_at.may_have_run ? run_state::unknown : run_state::no;
    this->events->write(shell::event{"refused"}
                            .with("request", now_at.id)
                            .with("route", now_at.way->name)
                            .with("service", now_at.service)
                            .with("reason", to_string(reason))
                            .with("run", to_string(run))
                            .with("sends", now_at.sends)
                            .with("version", this->version.value())
                            .with("age_ms", shell::monotonic_now() - now_at.request->begun)
                            .with("retry_after_ms", come_back));
    return make_refusal({reason, run, come_back});
}

// Answers a request that can't be served at all, whatever the targets do.
std::optional<answer> gateway::refuse_early(const served_request& request, const std::string& id)
{
    if (!this->is_configured()) {
        this->metrics.count_refusal(refusal_reason::not_configured, 0);
        this->events->write(
            shell::event{"refused"}.with("request", id).with("reason", "not_configured"));
        constexpr std::chrono::milliseconds configured_soon{300};
        return make_refusal({refusal_reason::not_configured, run_state::no, configured_soon});
    }
    const auto path = path_of(view(request.head.target()));
    const auto host = host_of(view(request.head[http::field::host]));
    if (this->table.find(host, path) == nullptr) {
        this->metrics.count_refusal(refusal_reason::unknown_service, 0);
        this->events->write(shell::event{"refused"}
                                .with("request", id)
                                .with("reason", "unknown_service")
                                .with("host", host)
                                .with("path", path)
                                .with("version", this->version.value()));
        return make_plain(static_cast<unsigned>(http::status::not_found), "unknown_service", false);
    }
    return std::nullopt;
}

boost::asio::awaitable<answer> gateway::serve(std::shared_ptr<served_request> request)
{
    const auto self = shared_from_this();
    this->metrics.count_request();
    std::string id{view(request->head[this->names.request_id])};
    if (auto early = this->refuse_early(*request, id)) {
        co_return std::move(*early);
    }
    passage now_at;
    now_at.request = request;
    now_at.id = std::move(id);
    now_at.path = path_of(view(request->head.target()));
    const auto host = host_of(view(request->head[http::field::host]));
    // The table may be replaced while the request is under way.
    const auto way = std::make_shared<const route::route>(*this->table.find(host, now_at.path));
    now_at.way = way.get();
    now_at.service = this->splits[way->name].next(way->split);
    const auto object = view(request->head[this->names.object]);
    now_at.key = way->sticky ? dispatch::make_object_key(now_at.service, object) : 0;
    now_at.due = request->begun + way->timeout;
    const auto patience = whole_number(view(request->head[this->names.time_left_ms]));
    if (patience) {
        now_at.due = std::min<time_point>(
            now_at.due, request->begun + std::chrono::milliseconds{*patience} - answer_margin);
    }
    now_at.objective_due = request->begun + way->objective;

    auto& window = this->retries[now_at.service];
    const auto& limits = this->settings.limits;
    window.set({limits.retry_ratio, limits.retry_slack, this->entry_hosts.hosts()},
               limits.retry_window);
    window.count_first(request->begun);
    ++this->in_flight;
    auto made = co_await this->pass(std::move(now_at));
    --this->in_flight;
    this->metrics.observe_answer(made.status, way->priority,
                                 shell::monotonic_now() - request->begun);
    co_return made;
}

dispatch::placement_question gateway::make_question(const passage& now_at)
{
    const auto now = shell::monotonic_now();
    dispatch::placement_question question;
    question.now = now;
    question.service = now_at.service;
    question.key = now_at.key;
    question.sticky = now_at.way->sticky;
    question.domain = this->settings.domain;
    question.region = this->region;
    question.allowed_regions = &now_at.way->allowed_regions;
    for (const auto& each : now_at.tried) {
        question.tried.push_back(each.get());
    }
    question.time_left = now_at.due - now;
    question.objective_left = now_at.objective_due - now;
    question.priority = now_at.way->priority;
    question.cold_allowance = this->cold_allowance(now_at.service);
    question.away = this->away_share(now, now_at.service);
    question.declined = now_at.declined > 0;
    return question;
}

// Whether a request that a target didn't answer goes to another one.
bool gateway::may_send_again(passage& now_at, const send_result& got)
{
    const auto now = shell::monotonic_now();
    const bool once = now_at.way->repeat == repeatability::at_most_once;
    const bool has_run_once = now_at.may_have_run && once;
    if (now_at.request->control->aborted() || has_run_once ||
        now_at.sends >= std::max<std::uint32_t>(now_at.way->max_attempts, 1) ||
        now_at.unreached > most_unreached || now_at.due - now < least_time_for_repeat) {
        return false;
    }
    // A request that reached no target is no repeat.
    const auto reason = retry_reason_of(got);
    const bool granted = !got.arrived || this->retries[now_at.service].spend(now);
    this->events->write(shell::event{"retry"}
                            .with("request", now_at.id)
                            .with("reason", to_string(reason))
                            .with("granted", granted)
                            .with("sends", now_at.sends)
                            .with("time_left_ms", now_at.due - now));
    if (!granted) {
        this->metrics.count_retry_denied();
        return false;
    }
    this->metrics.count_retry(reason);
    return true;
}

answer gateway::finish(const passage& now_at, answer made, std::string_view ended_by)
{
    const auto took = shell::monotonic_now() - now_at.request->begun;
    const bool slow = took > now_at.way->objective;
    if (slow || now_at.sends > 1 ||
        made.status >= static_cast<unsigned>(http::status::bad_request) ||
        this->events->takes_usual()) {
        this->events->write(shell::event{"ended"}
                                .with("request", now_at.id)
                                .with("route", now_at.way->name)
                                .with("status", made.status)
                                .with("ended_by", ended_by)
                                .with("sends", now_at.sends)
                                .with("took_ms", took)
                                .with("objective_ms", now_at.way->objective));
    }
    return made;
}

// The final answer to a request that its last target did not answer.
answer gateway::end_failed(const passage& now_at, const send_result& got)
{
    if (got.outcome == send_outcome::abandoned) {
        this->metrics.count_caller_gone();
        return this->finish(now_at,
                            make_refusal({refusal_reason::deadline, run_state::unknown, {}}),
                            "caller_gone");
    }
    if (got.outcome == send_outcome::timed_out) {
        return this->refuse(now_at, refusal_reason::deadline, {});
    }
    const auto come_back =
        this->spread(this->work_of(now_at.way->name, now_at.service).warm, now_at.due);
    const bool shed = got.outcome == send_outcome::shed;
    return this->refuse(now_at, shed ? refusal_reason::queue_full : refusal_reason::target_failed,
                        come_back);
}

boost::asio::awaitable<answer> gateway::pass(passage now_at)
{
    const auto control = now_at.request->control;
    boost::asio::steady_timer timer{*this->context};
    timer.expires_after(now_at.due + late_answer_wait - shell::monotonic_now());
    timer.async_wait([control](const boost::system::error_code& error) {
        if (!error) {
            control->out_of_time = true;
            control->abort();
        }
    });
    while (true) {
        if (control->aborted()) {
            send_result none;
            none.outcome = control->caller_gone ? send_outcome::abandoned : send_outcome::timed_out;
            co_return this->finish(now_at, this->end_failed(now_at, none), "given_up");
        }
        const auto where = dispatch::place(this->board, this->make_question(now_at),
                                           this->work_of(now_at.way->name, now_at.service));
        if (!where || now_at.declined > most_declines) {
            const auto failed = where ? dispatch::unplaced{dispatch::placement_failure::overload,
                                                           now_at.declined_wait}
                                      : where.error();
            const auto come_back = this->spread(failed.come_back, now_at.due);
            co_return this->finish(now_at, this->refuse(now_at, reason_of(failed.why), come_back),
                                   "refusal");
        }
        auto sent = co_await this->send(now_at, *where);
        if (!sent) {
            continue;
        }
        auto got = std::move(*sent);
        if (got.outcome == send_outcome::not_reached) {
            // Nothing was sent, so that it takes no attempt.
            --now_at.sends;
            ++now_at.unreached;
        }
        const bool failed = got.outcome == send_outcome::failed;
        if (got.outcome != send_outcome::answered && this->may_send_again(now_at, got)) {
            continue;
        }
        if (got.got && (got.outcome == send_outcome::answered || failed)) {
            // These statuses promise that a request has not run; a target that doesn't say so by
            // its own field may have run it.
            if (!promises_not_run(got.got->status)) {
                co_return this->finish(now_at, std::move(*got.got), "target");
            }
        }
        co_return this->finish(now_at, this->end_failed(now_at, got), "failure");
    }
}

} // namespace bth::gateway
