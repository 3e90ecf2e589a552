#include "bth/dispatch/crash_ledger.h"

#include "bth/dispatch/internal/crash_attribution.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bth::dispatch {

namespace {

// Reports of the same crash by different hosts lie closer together than this, and two crashes of
// targets with the same id, which need a start in between, don't.
constexpr std::chrono::milliseconds same_crash_window{1500};
// The most crashes that are remembered of one request; more change nothing.
constexpr std::size_t max_crashes_per_request = 64;
// How long answers are remembered, and how many. Longer than settling_time.
constexpr std::chrono::seconds recent_time{2};
constexpr std::size_t max_recent_completions = 512;
// The most cleared crashes that are remembered. They matter beside crashes of the same moment.
constexpr std::size_t max_cleared_crashes = 512;
constexpr std::chrono::seconds expiry_check_interval{1};
// Reports of the same answer differ by the time that messages take.
constexpr std::chrono::milliseconds transit_time{100};
// Trials begin at a quarter of the hosts at a time.
constexpr std::uint32_t trial_groups = 4;
constexpr std::chrono::milliseconds trial_group_delay{500};

bool is_same_crash(time_point one, time_point other)
{
    return std::chrono::abs(one - other) < same_crash_window;
}

} // namespace

target_key make_target_key(std::string_view target_id)
{
    return target_key{XXH64(target_id.data(), target_id.size(), 0)};
}

service_key make_service_key(std::string_view service)
{
    return service_key{XXH64(service.data(), service.size(), 0)};
}

bool crash_ledger::record_crash(time_point now, const crash_report& report, news_source source)
{
    this->forget_expired(now);
    const auto at = now - report.age;
    if (report.age >= retention) {
        return false;
    }
    const auto completed = this->completions.find(report.request);
    if (completed != this->completions.end() && completed->second.at >= at) {
        this->record_cleared({report.target, report.service, at});
        return false;
    }
    if (const auto answered = this->last_answered(report.request); answered >= at) {
        this->record_cleared({report.target, report.service, at});
        this->record_shared_completion(report.request, answered, news_source::observed);
        return true;
    }
    auto& known = this->crashes[report.request];
    const auto same = std::find_if(known.begin(), known.end(), [&](const auto& each) {
        return each.target == report.target && is_same_crash(each.at, at);
    });
    if (same != known.end()) {
        return false;
    }
    if (known.size() >= max_crashes_per_request) {
        known.erase(known.begin());
        --this->crash_count;
    }
    known.push_back({report.target, report.service, at, now, ++this->last_sequence, source});
    ++this->crash_count;
    this->is_stale = true;
    this->make_room();
    return true;
}

bool crash_ledger::clear_crashes(request_fingerprint request, time_point until)
{
    const auto known = this->crashes.find(request);
    if (known == this->crashes.end()) {
        return false;
    }
    const auto cleared = std::erase_if(known->second, [&](const auto& each) {
        if (each.at > until) {
            return false;
        }
        this->record_cleared({each.target, each.service, each.at});
        return true;
    });
    if (known->second.empty()) {
        this->crashes.erase(known);
    }
    this->crash_count -= cleared;
    this->is_stale = this->is_stale || cleared > 0;
    return cleared > 0;
}

void crash_ledger::record_cleared(const cleared_crash& cleared)
{
    const bool is_known = std::any_of(
        this->cleared_crashes.begin(), this->cleared_crashes.end(), [&](const auto& each) {
            return each.target == cleared.target && is_same_crash(each.at, cleared.at);
        });
    if (is_known) {
        return;
    }
    this->cleared_crashes.push_back(cleared);
    if (this->cleared_crashes.size() > max_cleared_crashes) {
        this->cleared_crashes.pop_front();
    }
    this->is_stale = true;
}

void crash_ledger::record_shared_completion(request_fingerprint request, time_point at,
                                            news_source source)
{
    auto& last = this->completions[request];
    last = {std::max(last.at, at), ++this->last_sequence, source};
}

bool crash_ledger::record_completion(time_point now, request_fingerprint request)
{
    this->forget_expired(now);
    this->recent_completions.push_back({request, now});
    if (this->recent_completions.size() > max_recent_completions) {
        this->recent_completions.pop_front();
    }
    const bool is_cleared = this->clear_crashes(request, now);
    if (is_cleared) {
        this->record_shared_completion(request, now, news_source::observed);
    }
    return is_cleared;
}

time_point crash_ledger::last_answered(request_fingerprint request) const
{
    const auto& recent = this->recent_completions;
    const auto found = std::find_if(recent.rbegin(), recent.rend(),
                                    [&](const auto& each) { return each.request == request; });
    return found == recent.rend() ? time_point{} : found->at;
}

bool crash_ledger::merge(time_point now, const crash_news& news, news_source source)
{
    bool is_news = false;
    for (const auto& each : news.completions) {
        const auto at = now - each.age;
        const auto known = this->completions.find(each.request);
        const bool is_known =
            known != this->completions.end() && at <= known->second.at + transit_time;
        if (is_known || each.age >= retention) {
            continue;
        }
        this->clear_crashes(each.request, at);
        this->record_shared_completion(each.request, at, source);
        is_news = true;
    }
    for (const auto& each : news.crashes) {
        is_news = this->record_crash(now, each, source) || is_news;
    }
    return is_news;
}

void crash_ledger::forget_expired(time_point now)
{
    if (now < this->next_expiry_check) {
        return;
    }
    this->next_expiry_check = now + expiry_check_interval;
    const auto is_expired = [&](const auto& each) {
        return each.at + retention <= now;
    };
    for (auto known = this->crashes.begin(); known != this->crashes.end();) {
        const auto expired = std::erase_if(known->second, is_expired);
        this->crash_count -= expired;
        this->is_stale = this->is_stale || expired > 0;
        known = known->second.empty() ? this->crashes.erase(known) : std::next(known);
    }
    this->is_stale = std::erase_if(this->cleared_crashes, is_expired) > 0 || this->is_stale;
    std::erase_if(this->completions, [&](const auto& each) { return is_expired(each.second); });
    while (!this->recent_completions.empty() &&
           this->recent_completions.front().at + recent_time < now) {
        this->recent_completions.pop_front();
    }
}

void crash_ledger::make_room()
{
    while (this->crash_count > max_crashes) {
        const auto is_before = [](const auto& one, const auto& other) {
            const bool is_single = one.second.size() == 1;
            const bool is_other_single = other.second.size() == 1;
            return is_single != is_other_single ? is_single
                                                : one.second.front().at < other.second.front().at;
        };
        const auto weakest =
            std::min_element(this->crashes.begin(), this->crashes.end(), is_before);
        this->crash_count -= weakest->second.size();
        this->crashes.erase(weakest);
    }
    while (this->completions.size() > max_crashes) {
        this->completions.erase(std::min_element(
            this->completions.begin(), this->completions.end(),
            [](const auto& one, const auto& other) { return one.second.at < other.second.at; }));
    }
}

void crash_ledger::attribute_crashes()
{
    if (!std::exchange(this->is_stale, false)) {
        return;
    }
    std::vector<internal::observed_crash> observed;
    observed.reserve(this->crash_count);
    for (const auto& [request, known] : this->crashes) {
        for (const auto& each : known) {
            observed.push_back({request, each.target, each.service, each.at, each.learned_at});
        }
    }
    std::vector<internal::cleared_crash> cleared;
    cleared.reserve(this->cleared_crashes.size());
    for (const auto& each : this->cleared_crashes) {
        cleared.push_back({each.target, each.service, each.at});
    }
    this->findings.clear();
    const internal::attribution_rules rules{crashes_to_refuse, wave_length, same_crash_window};
    for (const auto& each : internal::attribute(observed, cleared, rules)) {
        this->findings[each.request] = {each.crashes, each.crashes_targets, each.learned_at};
    }
}

bool crash_ledger::is_proved(const finding& suspect, const host_view& host)
{
    return suspect.crashes_targets &&
           (host.in_contact || suspect.crashes >= crashes_to_refuse_alone);
}

const crash_ledger::finding* crash_ledger::find_suspect(time_point now, request_fingerprint request)
{
    this->forget_expired(now);
    this->attribute_crashes();
    const auto found = this->findings.find(request);
    return found == this->findings.end() ? nullptr : &found->second;
}

crash_judgement crash_ledger::judge(time_point now, request_fingerprint request,
                                    const host_view& host, time_point deadline)
{
    const auto* suspect = this->find_suspect(now, request);
    if (suspect == nullptr) {
        return {};
    }
    const auto settled_at = suspect->learned_at + settling_time;
    if (is_proved(*suspect, host)) {
        const auto& known = this->crashes.at(request);
        const auto latest =
            std::max_element(known.begin(), known.end(),
                             [](const auto& one, const auto& other) { return one.at < other.at; });
        if (now < settled_at && settled_at < deadline) {
            return {crash_verdict::held, settled_at - now, suspect->crashes};
        }
        return {crash_verdict::refused, latest->at + retention - now, suspect->crashes};
    }
    const auto groups = std::min(trial_groups, std::max(host.hosts, std::uint32_t{1}));
    const auto group = (host.rank + request.value()) % groups;
    const auto trial_at = settled_at + trial_group_delay * static_cast<int>(group);
    if (now < trial_at && trial_at < deadline) {
        return {crash_verdict::held, trial_at - now, suspect->crashes};
    }
    return {crash_verdict::on_trial, {}, suspect->crashes};
}

bool crash_ledger::is_barred(time_point now, request_fingerprint request, const host_view& host)
{
    const auto* suspect = this->find_suspect(now, request);
    return suspect != nullptr && is_proved(*suspect, host);
}

crash_news crash_ledger::news_since(time_point now, std::uint64_t& cursor, news_scope scope) const
{
    // Ordered by the sequence in which they were recorded.
    std::map<std::uint64_t, crash_report> crash_reports;
    std::map<std::uint64_t, completion_report> completion_reports;
    const auto is_due = [&](const auto& each) {
        return each.sequence > cursor &&
               (scope == news_scope::all || each.source == news_source::observed);
    };
    for (const auto& [request, known] : this->crashes) {
        for (const auto& each : known) {
            if (is_due(each)) {
                crash_reports[each.sequence] = {request, each.target, each.service, now - each.at};
            }
        }
    }
    for (const auto& [request, last] : this->completions) {
        if (is_due(last)) {
            completion_reports[last.sequence] = {request, now - last.at};
        }
    }
    crash_news out;
    auto next_crash = crash_reports.begin();
    auto next_completion = completion_reports.begin();
    while (out.crashes.size() + out.completions.size() < max_news) {
        const bool has_crash = next_crash != crash_reports.end();
        const bool has_completion = next_completion != completion_reports.end();
        if (!has_crash && !has_completion) {
            cursor = this->last_sequence;
            return out;
        }
        if (has_crash && (!has_completion || next_crash->first < next_completion->first)) {
            cursor = next_crash->first;
            out.crashes.push_back(next_crash->second);
            ++next_crash;
        }
        else {
            cursor = next_completion->first;
            out.completions.push_back(next_completion->second);
            ++next_completion;
        }
    }
    return out;
}

} // namespace bth::dispatch
