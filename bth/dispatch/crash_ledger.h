// Finds the requests that crash the targets that run them, from what all hosts report of crashes.
//
//   crash_ledger ledger;
//   ledger.record_crash(now, {request, target, service, age}, news_source::observed);
//   ledger.merge(now, news_of_another_host, news_source::relayed);
//   switch (ledger.judge(now, request, position).verdict) { ... }
//   send(ledger.news_since(cursor, news_scope::observed));
//
// A target that crashes takes along every request that was running there, and at most one of them
// is the cause. So each crash is attributed to one request: the one that explains the most crashes
// comes first, and what it explains no longer counts against others. Where many targets of a
// service crash at the same moment, a request counts only by its share of these targets, since
// other causes, such as a lost rack, do the same. A run that ends with an answer clears a request
// of all earlier crashes; that these targets crashed still counts for the shares of others.
//
// One crash of a target has no consequence. After two, the next run waits until the reports of all
// hosts have arrived, and begins at some hosts before others. After three, the request is refused
// on all hosts, until the crashes are forgotten.
//
// Memory is bounded: where there are more crashes than the ledger holds, those of requests with a
// single crash are forgotten first, the oldest before others.
#pragma once

#include "bth/base/strong_id.h"
#include "bth/base/time.h"
#include "bth/dispatch/request_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

namespace bth::dispatch {

// Hashes of names, the same on all hosts.
using target_key = strong_id<struct target_key_tag, std::uint64_t>;
using service_key = strong_id<struct service_key_tag, std::uint64_t>;

// `target_id` names one start of a target, which is another target after its next start.
target_key make_target_key(std::string_view target_id);
service_key make_service_key(std::string_view service);

// A target crashed while the request was running there.
struct crash_report {
    request_fingerprint request;
    target_key target;
    service_key service;
    // Time since the crash.
    duration age{};
    friend bool operator==(const crash_report&, const crash_report&) = default;
};

// A target answered the request after crashes had been recorded for it.
struct completion_report {
    request_fingerprint request;
    // Time since the answer.
    duration age{};
    friend bool operator==(const completion_report&, const completion_report&) = default;
};

// What one host tells another.
struct crash_news {
    std::vector<crash_report> crashes;
    std::vector<completion_report> completions;

    bool empty() const { return this->crashes.empty() && this->completions.empty(); }
    friend bool operator==(const crash_news&, const crash_news&) = default;
};

// Where a piece of news comes from. It is passed on to where its source can't have sent it.
enum class news_source : std::uint8_t {
    observed, // This host, or a host that sends its news only to this one.
    relayed,  // A host that sends its news to all others.
};

// Which news to pass on.
enum class news_scope : std::uint8_t {
    observed, // To hosts that get what is relayed from its source.
    all,
};

enum class crash_verdict : std::uint8_t {
    clear,    // The request may be sent.
    held,     // Reports may still be on their way; judge again after `wait`.
    on_trial, // The request may be sent, once at a time.
    refused,  // The request crashes targets; it is forgotten after `wait` without further crashes.
};

struct crash_judgement {
    crash_verdict verdict{crash_verdict::clear};
    duration wait{};
    // The number of targets whose crashes are attributed to the request.
    std::size_t crashes{};
};

// What a host knows of the others.
struct host_view {
    // The place of this host among all hosts, ordered by name, from 0.
    std::uint32_t rank{};
    std::uint32_t hosts{1};
    // Whether reports of other hosts reach this one.
    bool in_contact{true};
};

class crash_ledger {
public:
    // Crashes after which a request is refused.
    static constexpr std::size_t crashes_to_refuse = 3;
    // The same on a host that is out of contact: what it lacks may explain some of them.
    static constexpr std::size_t crashes_to_refuse_alone = 5;
    // How long a crash is remembered.
    static constexpr std::chrono::minutes retention{10};
    // Time in which a report reaches all hosts in contact: a relay between control hosts is due
    // after 300 ms, an update of an entry host after 200 ms, and messages between regions take
    // tens of milliseconds.
    static constexpr std::chrono::milliseconds settling_time{600};
    // Crashes of a service that lie closer together may have one cause. Connections that break
    // together are noticed over ways of different length, and late by hosts that are short of
    // processor time.
    static constexpr std::chrono::milliseconds wave_length{500};
    // The most crashes that are remembered, counted for each request that was at the target.
    static constexpr std::size_t max_crashes = 2048;
    // The most reports in the news for one message.
    static constexpr std::size_t max_news = 64;

    // Records a crash. Returns whether it is news.
    bool record_crash(time_point now, const crash_report& report, news_source source);
    // Records that a target answered the request now. Returns whether that clears it of a crash.
    bool record_completion(time_point now, request_fingerprint request);
    // Records what another host reports. Returns whether any of it is news.
    bool merge(time_point now, const crash_news& news, news_source source);

    // Returns whether a host may send the request, which is due at `deadline`. The judgement is the
    // same on all hosts in contact that hold the same reports, apart from the time at which a trial
    // begins, which depends on the host. A request with fewer than crashes_to_refuse crashes isn't
    // held beyond its deadline: its trial begins at once if it would be.
    crash_judgement judge(time_point now, request_fingerprint request, const host_view& host,
                          time_point deadline);
    // Returns whether a request that was free to go, or on trial, is so no longer.
    bool is_barred(time_point now, request_fingerprint request, const host_view& host);

    // Returns the news that were recorded after `cursor`, at most max_news, and moves the cursor
    // behind them. A cursor of 0 stands before all.
    crash_news news_since(time_point now, std::uint64_t& cursor, news_scope scope) const;
    // Returns whether there may be news after the cursor.
    bool has_news_since(std::uint64_t cursor) const { return cursor < this->last_sequence; }

    // Returns the number of crashes remembered, counted for each request that was at the target.
    std::size_t size() const { return this->crash_count; }

private:
    struct crash {
        target_key target;
        service_key service;
        time_point at;
        time_point learned_at;
        std::uint64_t sequence{};
        news_source source{};
    };
    // A crash at which a request was running that has been answered since.
    struct cleared_crash {
        target_key target;
        service_key service;
        time_point at;
    };
    struct completion {
        time_point at;
        std::uint64_t sequence{};
        news_source source{};
    };
    struct recent_completion {
        request_fingerprint request;
        time_point at;
    };
    // What the crashes that are attributed to a request amount to.
    struct finding {
        std::size_t crashes{};
        bool crashes_targets{};
        // When the reports that the finding rests on arrived.
        time_point learned_at;
    };

    static bool is_proved(const finding& suspect, const host_view& host);
    const finding* find_suspect(time_point now, request_fingerprint request);
    bool clear_crashes(request_fingerprint request, time_point until);
    void record_cleared(const cleared_crash& cleared);
    void record_shared_completion(request_fingerprint request, time_point at, news_source source);
    // Returns when the request was last answered here, as far as that is remembered.
    time_point last_answered(request_fingerprint request) const;
    void forget_expired(time_point now);
    void make_room();
    void attribute_crashes();

    std::map<request_fingerprint, std::vector<crash>> crashes;
    std::size_t crash_count{};
    // In the order in which they were cleared.
    std::deque<cleared_crash> cleared_crashes;
    std::map<request_fingerprint, completion> completions;
    // Answers of the last seconds, latest last. A report of an earlier crash may still arrive.
    std::deque<recent_completion> recent_completions;
    // The requests with findings; valid unless `is_stale`.
    std::map<request_fingerprint, finding> findings;
    bool is_stale{};
    time_point next_expiry_check;
    std::uint64_t last_sequence{};
};

} // namespace bth::dispatch
