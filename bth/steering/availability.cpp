#include "bth/steering/availability.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bth::steering {

namespace {

// How often a recent announcement is relayed, how long an announcement is recent, and how often an
// older one is relayed.
constexpr duration recent_relay_interval = std::chrono::milliseconds{250};
constexpr duration recent_duration = std::chrono::seconds{5};
constexpr duration repeat_relay_interval = std::chrono::seconds{2};
// How long a notice counts after it was last received, even if the subject or the platform states
// meanwhile that the subject stays.
constexpr duration min_notice_duration = std::chrono::seconds{10};

// Returns for each index below `size` whether `ids` contains it.
template <class Id>
std::vector<bool> flags_of(const std::vector<Id>& ids, std::size_t size)
{
    std::vector<bool> flags(size);
    for (const Id id : ids) {
        if (id.index() < size) {
            flags.at(id.index()) = true;
        }
    }
    return flags;
}

// Returns the rows of `before` under their ids in a new configuration.
template <class Id, class Row>
std::vector<Row> carry_over(const std::vector<Row>& before, std::size_t size,
                            const model_map* change)
{
    std::vector<Row> rows(size);
    for (std::size_t index = 0; change != nullptr && index < before.size(); ++index) {
        if (const auto next = change->find(Id::from_index(index))) {
            rows.at(next->index()) = before.at(index);
        }
    }
    return rows;
}

} // namespace

void availability::configure(std::shared_ptr<const config::model> next, domain_id own_domain,
                             const model_map* change)
{
    this->targets = carry_over<target_id>(this->targets, next->targets.size(), change);
    this->hosts = carry_over<host_id>(this->hosts, next->hosts.size(), change);
    const std::vector<drain_row> before = std::exchange(this->drains, {});
    for (const config::drain& each : next->drains) {
        const bool started = std::any_of(before.begin(), before.end(), [&](const drain_row& old) {
            return old.started && change != nullptr &&
                   this->is_same_drain(old.drain, each, *change);
        });
        this->drains.push_back({each, started || each.from <= this->last_wall_time, std::nullopt});
    }
    this->model = std::move(next);
    this->own = own_domain;
}

bool availability::is_same_drain(const config::drain& before, const config::drain& after,
                                 const model_map& change) const
{
    const auto mapped_subject = std::visit(
        [&](auto id) -> std::optional<config::drain_subject> {
            const auto found = change.find(id);
            return found ? std::optional<config::drain_subject>{*found} : std::nullopt;
        },
        before.subject);
    return mapped_subject == after.subject && before.from == after.from;
}

void availability::advance(clock_reading now)
{
    this->last_wall_time = now.wall;
    // A drain that has started stays in force if the wall clock is set back.
    for (drain_row& each : this->drains) {
        each.started = each.started || each.drain.from <= now.wall;
        if (each.started && !each.seen_started_at) {
            each.seen_started_at = now.monotonic;
        }
    }
    for (host_row& each : this->hosts) {
        expire_notice(each.leave, now.monotonic);
    }
}

void availability::mark_leaving(leave_state& leave, bool leave_state::*source, time_point now)
{
    if (!leave.is_leaving()) {
        leave.first_announced_at = now;
    }
    leave.*source = true;
}

// Applies one entry of a platform list. Lists lag and may come out of order, so an announcement of
// the platform is withdrawn only when lists have shown the subject alive for a while.
void availability::apply_listing(leave_state& leave, bool alive, bool listed_leaving,
                                 time_point now)
{
    if (listed_leaving || !alive) {
        leave.listed_alive_since.reset();
    }
    if (listed_leaving) {
        mark_leaving(leave, &leave_state::by_platform, now);
        return;
    }
    if (!alive) {
        return;
    }
    leave.listed_alive_since = leave.listed_alive_since.value_or(now);
    if (now - *leave.listed_alive_since >= alive_confirmation_time) {
        leave.by_platform = false;
        expire_notice(leave, now);
    }
}

void availability::expire_notice(leave_state& leave, time_point now)
{
    const bool alive =
        leave.listed_alive_since && now - *leave.listed_alive_since >= alive_confirmation_time;
    if (leave.by_notice && alive && now - leave.last_notice_at > min_notice_duration) {
        leave.by_notice = false;
    }
}

// Withdraws the announcement by the subject itself, which states that it stays.
void availability::withdraw_announcement(leave_state& leave, time_point now)
{
    leave.by_report = false;
    if (now - leave.last_notice_at > min_notice_duration) {
        leave.by_notice = false;
    }
}

void availability::apply_platform_list(const platform_list& list, time_point now)
{
    const auto live_targets = flags_of(list.live_targets, this->targets.size());
    const auto leaving_targets = flags_of(list.leaving_targets, this->targets.size());
    for (std::size_t index = 0; index < this->targets.size(); ++index) {
        apply_listing(this->targets.at(index).leave, live_targets.at(index),
                      leaving_targets.at(index), now);
    }
    const auto live_hosts = flags_of(list.live_hosts, this->hosts.size());
    const auto leaving_hosts = flags_of(list.leaving_hosts, this->hosts.size());
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        host_row& row = this->hosts.at(index);
        apply_listing(row.leave, live_hosts.at(index), leaving_hosts.at(index), now);
        if (live_hosts.at(index)) {
            row.last_listed = now;
        }
    }
}

void availability::apply_report(const load_report& report, time_point now)
{
    if (report.target.index() >= this->targets.size()) {
        return;
    }
    target_row& row = this->targets.at(report.target.index());
    row.reported_at = now;
    if (report.leaving) {
        mark_leaving(row.leave, &leave_state::by_report, now);
        return;
    }
    withdraw_announcement(row.leave, now);
}

void availability::apply_notice(const leaving_notice& notice, time_point now)
{
    const auto record = [&](leave_state& leave) {
        mark_leaving(leave, &leave_state::by_notice, now);
        leave.last_notice_at = now;
    };
    for (const target_id target : notice.targets) {
        if (target.index() < this->targets.size()) {
            record(this->targets.at(target.index()).leave);
        }
    }
    for (const host_id host : notice.hosts) {
        if (host.index() < this->hosts.size()) {
            record(this->hosts.at(host.index()).leave);
        }
    }
}

void availability::record_liveness(host_id from, time_point now)
{
    host_row& row = this->hosts.at(from.index());
    if (!row.last_seen) {
        row.incarnation_first_seen = now;
    }
    row.last_seen = now;
}

void availability::announce_own_leaving(host_id self, time_point now)
{
    mark_leaving(this->hosts.at(self.index()).leave, &leave_state::by_report, now);
}

void availability::apply_heartbeat(host_id from, const heartbeat& beat, time_point now)
{
    host_row& row = this->hosts.at(from.index());
    if (row.last_seen && beat.incarnation_number < row.incarnation_number) {
        return;
    }
    if (!row.last_seen || beat.incarnation_number > row.incarnation_number) {
        const bool known_before = row.last_seen && row.incarnation_number == incarnation{};
        row.incarnation_first_seen = known_before ? row.incarnation_first_seen : now;
        row.leave = known_before ? row.leave : leave_state{};
        row.incarnation_number = beat.incarnation_number;
    }
    row.last_seen = now;
    if (beat.leaving) {
        mark_leaving(row.leave, &leave_state::by_report, now);
    }
    else {
        withdraw_announcement(row.leave, now);
    }
}

bool availability::drain_covers(const config::drain_subject& subject, domain_id domain) const
{
    return subject == config::drain_subject{domain} ||
           subject == config::drain_subject{this->model->at(domain).region};
}

bool availability::drain_covers(const config::drain_subject& subject, target_id target) const
{
    return subject == config::drain_subject{target} ||
           this->drain_covers(subject, this->model->at(target).domain);
}

bool availability::drain_covers(const config::drain_subject& subject, host_id host) const
{
    return subject == config::drain_subject{host} ||
           this->drain_covers(subject, this->model->at(host).domain);
}

bool availability::leaving(target_id target) const
{
    return this->targets.at(target.index()).leave.is_leaving() ||
           std::any_of(this->drains.begin(), this->drains.end(), [&](const drain_row& each) {
               return each.started && this->drain_covers(each.drain.subject, target);
           });
}

bool availability::leaving(host_id host) const
{
    return this->hosts.at(host.index()).leave.is_leaving() ||
           this->drain_starts_within(host, duration::zero());
}

bool availability::drain_starts_within(host_id host, duration ahead) const
{
    return std::any_of(this->drains.begin(), this->drains.end(), [&](const drain_row& each) {
        return (each.started || each.drain.from - this->last_wall_time <= ahead) &&
               this->drain_covers(each.drain.subject, host);
    });
}

bool availability::drained(domain_id domain) const
{
    return std::any_of(this->drains.begin(), this->drains.end(), [&](const drain_row& each) {
        return each.started && this->drain_covers(each.drain.subject, domain);
    });
}

host_condition availability::condition(host_id host, time_point now) const
{
    const host_row& row = this->hosts.at(host.index());
    if (this->leaving(host)) {
        return host_condition::leaving;
    }
    if (!row.last_seen) {
        return host_condition::never_seen;
    }
    return now - *row.last_seen > heartbeat_timeout ? host_condition::silent
                                                    : host_condition::usable;
}

std::optional<time_point> availability::incarnation_first_seen(host_id host) const
{
    const host_row& row = this->hosts.at(host.index());
    return row.last_seen ? std::optional{row.incarnation_first_seen} : std::nullopt;
}

bool availability::has_recent_report(target_id target, time_point now) const
{
    const auto& at = this->targets.at(target.index()).reported_at;
    return at && now - *at <= report_max_age;
}

// Relays a second-hand announcement only while it is recent, so that two hosts never keep one alive
// between them. Relays a drain in the configuration as long as it is in force, since a host that
// hasn't received that configuration yet must stop, too.
template <class Id>
availability::relay_decision availability::decide_relay(const leave_state& leave, Id subject,
                                                        time_point now) const
{
    relay_decision out;
    if (leave.is_leaving()) {
        out.is_recent = now - leave.first_announced_at <= recent_duration;
        out.relay = leave.has_first_hand_source() || out.is_recent;
    }
    for (const drain_row& each : this->drains) {
        if (each.seen_started_at && this->drain_covers(each.drain.subject, subject)) {
            out.relay = true;
            out.is_recent = out.is_recent || now - *each.seen_started_at <= recent_duration;
        }
    }
    return out;
}

std::optional<leaving_notice> availability::due_notice(time_point now)
{
    if (this->model == nullptr || now - this->last_notice_sent < recent_relay_interval) {
        return std::nullopt;
    }
    leaving_notice notice;
    bool any_recent = false;
    const auto collect = [&](const auto& row, auto id, auto& list) {
        if (this->model->at(id).domain != this->own) {
            return;
        }
        const relay_decision decision = this->decide_relay(row.leave, id, now);
        if (decision.relay) {
            list.push_back(id);
            any_recent = any_recent || decision.is_recent;
        }
    };
    for (std::size_t index = 0; index < this->targets.size(); ++index) {
        collect(this->targets.at(index), target_id::from_index(index), notice.targets);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        collect(this->hosts.at(index), host_id::from_index(index), notice.hosts);
    }
    const bool empty = notice.targets.empty() && notice.hosts.empty();
    if (empty || (!any_recent && now - this->last_notice_sent < repeat_relay_interval)) {
        return std::nullopt;
    }
    this->last_notice_sent = now;
    return notice;
}

} // namespace bth::steering
