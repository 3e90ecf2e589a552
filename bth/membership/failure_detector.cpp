#include "bth/membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

namespace bth::membership {

namespace {

// Each item of news rides along this many times the logarithm of the number of hosts.
constexpr std::uint32_t news_repeats = 3;

// Every so many probes one goes to a host that counts as dead, so that it can come back after a
// network partition.
constexpr std::uint32_t dead_probe_period = 10;

bool member_less(const member& row, std::string_view host)
{
    return row.host < host;
}

// The order in which statements about one host override each other.
auto strength(const member& row)
{
    return std::tuple{row.life, row.refutation, row.state};
}

auto strength(const news_item& item)
{
    return std::tuple{item.life, item.refutation, item.state};
}

std::size_t pick(std::size_t count, std::mt19937_64& random)
{
    boost::random::uniform_int_distribution<std::size_t> index{0, count - 1};
    return index(random);
}

news_item news_of(const member& row)
{
    return {row.host, row.life, row.refutation, row.state};
}

} // namespace

failure_detector::failure_detector(detector_settings settings) : settings{std::move(settings)}
{
    this->set_members({});
}

void failure_detector::set_members(std::vector<std::string> names)
{
    names.push_back(this->settings.self.host);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    std::vector<member> next;
    for (std::string& name : names) {
        if (const member* old = this->find(name); old != nullptr) {
            next.push_back(*old);
            continue;
        }
        member row;
        row.life = name == this->settings.self.host ? this->settings.self.life : incarnation{};
        row.host = std::move(name);
        next.push_back(std::move(row));
    }
    this->rows = std::move(next);
    if (member* self = this->find(this->settings.self.host); self->news_left == 0) {
        this->changed(*self);
    }
}

void failure_detector::hint_gone(const std::vector<std::string>& names)
{
    for (const std::string& name : names) {
        const member* row = this->find(name);
        if (row != nullptr && row->state == liveness::alive && name != this->settings.self.host &&
            std::find(this->hinted.begin(), this->hinted.end(), name) == this->hinted.end()) {
            this->hinted.push_back(name);
        }
    }
}

member* failure_detector::find(std::string_view host)
{
    const auto place = std::lower_bound(this->rows.begin(), this->rows.end(), host, member_less);
    return place != this->rows.end() && place->host == host ? &*place : nullptr;
}

void failure_detector::changed(member& row)
{
    row.news_left = news_repeats * static_cast<std::uint32_t>(std::bit_width(this->rows.size()));
}

void failure_detector::heard_from(time_point now, const peer& from)
{
    member* row = this->find(from.host);
    if (row == nullptr || from.life < row->life) {
        return;
    }
    if (from.life > row->life) {
        row->life = from.life;
        row->refutation = 0;
        row->state = liveness::alive;
        this->changed(*row);
    }
    row->last_heard = now;
    row->heard = true;
}

// News of a life that this host doesn't have can't be refuted by it. An earlier refutation that got
// lost is told again.
void failure_detector::refute(member& self, const news_item& item)
{
    if (item.life == self.life && item.state != liveness::alive) {
        self.refutation = std::max(self.refutation, item.refutation + 1);
        this->changed(self);
    }
}

void failure_detector::learn(time_point now, const news_item& item)
{
    member* row = this->find(item.host);
    if (row == nullptr) {
        return;
    }
    if (item.host == this->settings.self.host) {
        this->refute(*row, item);
        return;
    }
    if (strength(item) <= strength(*row)) {
        return;
    }
    if (item.state == liveness::suspect && row->state != liveness::suspect) {
        row->suspect_since = now;
    }
    row->life = item.life;
    row->refutation = item.refutation;
    row->state = item.state;
    this->changed(*row);
}

void failure_detector::add_news(probe_message& to, std::string_view receiver)
{
    // A host that doesn't count as alive is told so, that it can refute.
    if (const member* row = this->find(receiver); row != nullptr && row->state != liveness::alive) {
        to.news.push_back(news_of(*row));
    }
    std::vector<member*> fresh;
    for (member& row : this->rows) {
        if (row.news_left > 0) {
            fresh.push_back(&row);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(),
                     [](const member* a, const member* b) { return a->news_left > b->news_left; });
    for (member* row : fresh) {
        if (to.news.size() >= this->settings.news_limit) {
            break;
        }
        to.news.push_back(news_of(*row));
        --row->news_left;
    }
}

probe_message failure_detector::make(probe_kind kind, std::uint32_t sequence,
                                     std::string_view receiver, const host_stamp& stamp)
{
    probe_message what;
    what.kind = kind;
    what.sequence = sequence;
    what.stamp = stamp;
    this->add_news(what, receiver);
    return what;
}

std::string failure_detector::next_subject(std::mt19937_64& random)
{
    if (!this->hinted.empty()) {
        std::string name = std::move(this->hinted.front());
        this->hinted.erase(this->hinted.begin());
        return name;
    }
    ++this->probes_sent;
    const bool wants_dead = this->probes_sent % dead_probe_period == 0;
    std::vector<const member*> others;
    std::vector<const member*> dead;
    for (const member& row : this->rows) {
        if (row.host != this->settings.self.host) {
            (row.state == liveness::dead ? dead : others).push_back(&row);
        }
    }
    const auto& from = (wants_dead || others.empty()) && !dead.empty() ? dead : others;
    return from.empty() ? std::string{} : from[pick(from.size(), random)]->host;
}

std::vector<std::string> failure_detector::helpers(const std::string& subject,
                                                   std::mt19937_64& random) const
{
    std::vector<std::string> names;
    for (const member& row : this->rows) {
        if (row.state == liveness::alive && row.host != subject &&
            row.host != this->settings.self.host) {
            names.push_back(row.host);
        }
    }
    const std::size_t count = std::min(names.size(), this->settings.indirect_probes);
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(names[index], names[index + pick(names.size() - index, random)]);
    }
    names.resize(count);
    return names;
}

void failure_detector::expire(time_point now, const host_stamp& stamp, std::mt19937_64& random,
                              std::vector<outgoing_probe>& out)
{
    for (auto each = this->waiting.begin(); each != this->waiting.end();) {
        auto& [sequence, probe] = *each;
        const duration age = now - probe.sent;
        if (!probe.asked_others && probe.origin.empty() && age >= this->settings.direct_timeout) {
            probe.asked_others = true;
            for (const std::string& helper : this->helpers(probe.subject, random)) {
                out.push_back(
                    {helper, this->make(probe_kind::indirect_request, sequence, helper, stamp)});
                out.back().what.subject = probe.subject;
            }
        }
        if (age < this->settings.probe_timeout) {
            ++each;
            continue;
        }
        member* row = this->find(probe.subject);
        if (probe.origin.empty() && row != nullptr && row->state == liveness::alive) {
            row->state = liveness::suspect;
            row->suspect_since = now;
            this->changed(*row);
        }
        each = this->waiting.erase(each);
    }
    for (member& row : this->rows) {
        if (row.state == liveness::suspect && now - row.suspect_since >= this->settings.suspicion) {
            row.state = liveness::dead;
            this->changed(row);
        }
    }
}

std::vector<outgoing_probe> failure_detector::tick(time_point now, const host_stamp& stamp,
                                                   std::mt19937_64& random)
{
    std::vector<outgoing_probe> out;
    this->expire(now, stamp, random, out);
    if (now < this->next_probe) {
        return out;
    }
    this->next_probe = now + this->settings.probe_interval;
    const std::string subject = this->next_subject(random);
    if (!subject.empty()) {
        const std::uint32_t sequence = ++this->last_sequence;
        this->waiting[sequence] = {subject, now, false, {}, 0};
        out.push_back({subject, this->make(probe_kind::probe, sequence, subject, stamp)});
    }
    return out;
}

std::vector<outgoing_probe> failure_detector::receive(time_point now, const peer& from,
                                                      const probe_message& what,
                                                      const host_stamp& stamp)
{
    this->heard_from(now, from);
    for (const news_item& item : what.news) {
        this->learn(now, item);
    }
    std::vector<outgoing_probe> out;
    if (what.kind == probe_kind::probe) {
        out.push_back({from.host, this->make(probe_kind::answer, what.sequence, from.host, stamp)});
    }
    else if (what.kind == probe_kind::indirect_request) {
        const std::uint32_t sequence = ++this->last_sequence;
        this->waiting[sequence] = {what.subject, now, false, from.host, what.sequence};
        out.push_back({what.subject, this->make(probe_kind::probe, sequence, what.subject, stamp)});
    }
    else if (const auto probe = this->waiting.find(what.sequence);
             probe != this->waiting.end() &&
             (what.kind == probe_kind::indirect_answer || probe->second.subject == from.host)) {
        if (!probe->second.origin.empty()) {
            const std::string& origin = probe->second.origin;
            out.push_back({origin, this->make(probe_kind::indirect_answer,
                                              probe->second.origin_sequence, origin, stamp)});
        }
        this->waiting.erase(probe);
    }
    return out;
}

std::vector<std::string> failure_detector::alive() const
{
    std::vector<std::string> names;
    for (const member& row : this->rows) {
        if (row.state == liveness::alive) {
            names.push_back(row.host);
        }
    }
    return names;
}

} // namespace bth::membership
