#include "bth/steering/availability.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bth::steering {

namespace {

// How often a new word is passed on, for how long, and how often an older one.
constexpr duration new_word_interval = std::chrono::milliseconds{250};
constexpr duration new_word_lasts = std::chrono::seconds{5};
constexpr duration old_word_interval = std::chrono::seconds{2};
// How long a notice stands after it was last repeated, whatever is heard meanwhile.
constexpr duration notice_holds = std::chrono::seconds{10};

// Which rows a list names.
template <class Id>
std::vector<bool> mark(const std::vector<Id>& ids, std::size_t size)
{
    std::vector<bool> marks(size);
    for (const Id id : ids) {
        if (id.index() < size) {
            marks.at(id.index()) = true;
        }
    }
    return marks;
}

template <class Id, class Row>
std::vector<Row> carried(const std::vector<Row>& before, std::size_t size, const model_map* change)
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
    this->targets = carried<target_id>(this->targets, next->targets.size(), change);
    this->hosts = carried<host_id>(this->hosts, next->hosts.size(), change);
    const std::vector<drain_row> before = std::exchange(this->drains, {});
    for (const config::drain& each : next->drains) {
        const bool begun = std::any_of(before.begin(), before.end(), [&](const drain_row& old) {
            return old.begun && change != nullptr && this->same_drain(old.drain, each, *change);
        });
        this->drains.push_back({each, begun || each.from <= this->wall, std::nullopt});
    }
    this->model = std::move(next);
    this->own = own_domain;
}

bool availability::same_drain(const config::drain& before, const config::drain& after,
                              const model_map& change) const
{
    const auto renamed = std::visit(
        [&](auto id) -> std::optional<config::drain_subject> {
            const auto found = change.find(id);
            return found ? std::optional<config::drain_subject>{*found} : std::nullopt;
        },
        before.subject);
    return renamed == after.subject && before.from == after.from;
}

void availability::advance(clock_reading now)
{
    this->wall = now.wall;
    // A drain that has begun goes on if the wall clock is set back.
    for (drain_row& each : this->drains) {
        each.begun = each.begun || each.drain.from <= now.wall;
        if (each.begun && !each.begun_at) {
            each.begun_at = now.monotonic;
        }
    }
    for (host_row& each : this->hosts) {
        fade_notice(each.word, now.monotonic);
    }
}

void availability::give(word_row& word, bool word_row::*source, time_point now)
{
    if (!word.stands()) {
        word.first_word = now;
    }
    word.*source = true;
}

// Lists lag and may come out of order: only lists that agree for a while take a word back.
void availability::see_listed(word_row& word, bool alive, bool says_leaving, time_point now)
{
    if (says_leaving || !alive) {
        word.alive_since.reset();
    }
    if (says_leaving) {
        give(word, &word_row::by_platform, now);
        return;
    }
    if (!alive) {
        return;
    }
    word.alive_since = word.alive_since.value_or(now);
    if (now - *word.alive_since >= revive_after) {
        word.by_platform = false;
        fade_notice(word, now);
    }
}

void availability::fade_notice(word_row& word, time_point now)
{
    const bool alive = word.alive_since && now - *word.alive_since >= revive_after;
    if (word.by_notice && alive && now - word.last_notice > notice_holds) {
        word.by_notice = false;
    }
}

// The subject itself says that it stays.
void availability::take_back(word_row& word, time_point now)
{
    word.by_report = false;
    if (now - word.last_notice > notice_holds) {
        word.by_notice = false;
    }
}

void availability::take_platform(const platform_list& list, time_point now)
{
    const auto live_targets = mark(list.live_targets, this->targets.size());
    const auto leaving_targets = mark(list.leaving_targets, this->targets.size());
    for (std::size_t index = 0; index < this->targets.size(); ++index) {
        see_listed(this->targets.at(index).word, live_targets.at(index), leaving_targets.at(index),
                   now);
    }
    const auto live_hosts = mark(list.live_hosts, this->hosts.size());
    const auto leaving_hosts = mark(list.leaving_hosts, this->hosts.size());
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        host_row& row = this->hosts.at(index);
        see_listed(row.word, live_hosts.at(index), leaving_hosts.at(index), now);
        if (live_hosts.at(index)) {
            row.listed_at = now;
        }
    }
}

void availability::take_report(const load_report& report, time_point now)
{
    if (report.target.index() >= this->targets.size()) {
        return;
    }
    target_row& row = this->targets.at(report.target.index());
    row.reported_at = now;
    if (report.leaving) {
        give(row.word, &word_row::by_report, now);
        return;
    }
    take_back(row.word, now);
}

void availability::take_notice(const leaving_notice& notice, time_point now)
{
    const auto hear = [&](word_row& word) {
        give(word, &word_row::by_notice, now);
        word.last_notice = now;
    };
    for (const target_id target : notice.targets) {
        if (target.index() < this->targets.size()) {
            hear(this->targets.at(target.index()).word);
        }
    }
    for (const host_id host : notice.hosts) {
        if (host.index() < this->hosts.size()) {
            hear(this->hosts.at(host.index()).word);
        }
    }
}

void availability::take_sign_of_life(host_id from, time_point now)
{
    host_row& row = this->hosts.at(from.index());
    if (!row.heard_at) {
        row.life_began = now;
    }
    row.heard_at = now;
}

void availability::announce_own_leaving(host_id self, time_point now)
{
    give(this->hosts.at(self.index()).word, &word_row::by_report, now);
}

void availability::take_heartbeat(host_id from, const heartbeat& beat, time_point now)
{
    host_row& row = this->hosts.at(from.index());
    if (row.heard_at && beat.incarnation_number < row.life) {
        return;
    }
    if (!row.heard_at || beat.incarnation_number > row.life) {
        const bool known_before = row.heard_at && row.life == incarnation{};
        row.life_began = known_before ? row.life_began : now;
        row.word = known_before ? row.word : word_row{};
        row.life = beat.incarnation_number;
    }
    row.heard_at = now;
    if (beat.leaving) {
        give(row.word, &word_row::by_report, now);
    }
    else {
        take_back(row.word, now);
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
    return this->targets.at(target.index()).word.stands() ||
           std::any_of(this->drains.begin(), this->drains.end(), [&](const drain_row& each) {
               return each.begun && this->drain_covers(each.drain.subject, target);
           });
}

bool availability::leaving(host_id host) const
{
    return this->hosts.at(host.index()).word.stands() ||
           this->leaves_within(host, duration::zero());
}

bool availability::leaves_within(host_id host, duration ahead) const
{
    return std::any_of(this->drains.begin(), this->drains.end(), [&](const drain_row& each) {
        return (each.begun || each.drain.from - this->wall <= ahead) &&
               this->drain_covers(each.drain.subject, host);
    });
}

bool availability::drained(domain_id domain) const
{
    return std::any_of(this->drains.begin(), this->drains.end(), [&](const drain_row& each) {
        return each.begun && this->drain_covers(each.drain.subject, domain);
    });
}

host_condition availability::condition(host_id host, time_point now) const
{
    const host_row& row = this->hosts.at(host.index());
    if (this->leaving(host)) {
        return host_condition::leaving;
    }
    if (!row.heard_at) {
        return host_condition::unheard;
    }
    return now - *row.heard_at > heartbeat_limit ? host_condition::silent : host_condition::usable;
}

std::optional<time_point> availability::life_began(host_id host) const
{
    const host_row& row = this->hosts.at(host.index());
    return row.heard_at ? std::optional{row.life_began} : std::nullopt;
}

bool availability::reported(target_id target, time_point now) const
{
    const auto& at = this->targets.at(target.index()).reported_at;
    return at && now - *at <= report_limit;
}

// A word heard second-hand is passed on only while it is new, so that two hosts never keep one
// alive between them. A drain in the text is passed on as long as it stands: a host that hasn't got
// the text yet must stop all the same.
template <class Id>
availability::passed_word availability::passed(const word_row& word, Id subject,
                                               time_point now) const
{
    passed_word out;
    if (word.stands()) {
        out.is_new = now - word.first_word <= new_word_lasts;
        out.passes = word.first_hand() || out.is_new;
    }
    for (const drain_row& each : this->drains) {
        if (each.begun_at && this->drain_covers(each.drain.subject, subject)) {
            out.passes = true;
            out.is_new = out.is_new || now - *each.begun_at <= new_word_lasts;
        }
    }
    return out;
}

std::optional<leaving_notice> availability::due_notice(time_point now)
{
    if (this->model == nullptr || now - this->notice_sent < new_word_interval) {
        return std::nullopt;
    }
    leaving_notice notice;
    bool any_new = false;
    const auto collect = [&](const auto& row, auto id, auto& list) {
        if (this->model->at(id).domain != this->own) {
            return;
        }
        const passed_word word = this->passed(row.word, id, now);
        if (word.passes) {
            list.push_back(id);
            any_new = any_new || word.is_new;
        }
    };
    for (std::size_t index = 0; index < this->targets.size(); ++index) {
        collect(this->targets.at(index), target_id::from_index(index), notice.targets);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        collect(this->hosts.at(index), host_id::from_index(index), notice.hosts);
    }
    const bool empty = notice.targets.empty() && notice.hosts.empty();
    if (empty || (!any_new && now - this->notice_sent < old_word_interval)) {
        return std::nullopt;
    }
    this->notice_sent = now;
    return notice;
}

} // namespace bth::steering
