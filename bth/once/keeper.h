// Lets a request that may not be repeated run at most once, however often its caller resends it.
//
// The entry host whose prefix a key carries keeps the key's record, in memory; every other host
// forwards the request to it. A key is taken for a first run only while the epoch of its prefix is
// young, and its record is kept for longer than that: after a record is gone, its key can't run
// again. A record that the host can't have, because that life of it is over, counts as run with an
// unknown outcome. So no crash, and no expiry, lets a request with a prefix run twice.
//
// A key without a prefix is only known at the host that it was sent to, and only until it expires.
//
//   keeper records{{.host_name = "a1", .life = incarnation{1}}};
//   const verdict what = records.begin(key, fingerprint, now);
//   if (what.decision == decision::run) { ...; records.finish(key, ending::answered, answer, now);
//   }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/once/key.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bth::once {

struct keeper_settings {
    std::string host_name;
    incarnation life;
    // A prefix is handed out for one epoch and taken for `lifetime` after its end.
    duration epoch_length{std::chrono::minutes{1}};
    duration lifetime{std::chrono::minutes{10}};
    // With so many records, further keys are refused as not run.
    std::size_t most_records{50'000};
    // Larger answers aren't kept; a resend then learns only that the request has run.
    std::size_t most_answer_bytes{16'384};
    // All kept answers together.
    std::size_t most_kept_bytes{8'388'608};
};

// An answer that is kept for resends.
struct stored_answer {
    unsigned status{};
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

enum class decision : std::uint8_t {
    run,     // Run it, and call finish.
    forward, // Another host keeps the record: forward the request to it, once.
    replay,  // It has run; this is its answer.
    refuse,
};

struct verdict {
    decision what{decision::refuse};
    // With `forward`: the name of the host.
    std::string host;
    // With `replay`.
    const stored_answer* answer{};
    // With `refuse`.
    refusal_reason reason{refusal_reason::already_run};
    run_state run{run_state::unknown};
    duration retry_after{};
};

// How a run ended.
enum class ending : std::uint8_t {
    answered, // A complete answer came from the target.
    not_run,  // It certainly didn't run: a resend may.
    unknown,  // It may have run.
};

class keeper {
public:
    explicit keeper(keeper_settings given);

    // A prefix for one look-up answer; no two are the same, so that callers who choose the same
    // ending don't share a key. The answer must not be kept by caches that callers share.
    std::string prefix(time_point now);

    // Decides about a request. `fingerprint` stands for all that makes it the same request: caller
    // class, service, method, path, and the body where it is known; the same key with another
    // fingerprint is refused, so that nobody gets the answer to another's request.
    verdict begin(std::string_view key, std::uint64_t fingerprint, time_point now);
    // Ends the run that `begin` allowed.
    void finish(std::string_view key, ending how, std::optional<stored_answer> answer,
                time_point now);

    std::size_t size() const { return this->records.size(); }
    std::size_t running() const { return this->running_count; }

private:
    enum class record_state : std::uint8_t { running, not_run, answered, unknown };
    struct record {
        std::uint64_t fingerprint{};
        record_state state{record_state::running};
        std::optional<stored_answer> answer;
        time_point expires;
    };
    std::uint64_t epoch_at(time_point now);
    // When a key is no longer taken; nothing if it isn't of this life or its epoch is yet to come.
    std::optional<time_point> end_of_key(const std::optional<key_origin>& origin, time_point now);
    void expire(time_point now);
    static verdict judge(const record& known, std::uint64_t fingerprint);
    void keep(record& known, std::optional<stored_answer> answer);
    void drop(std::map<std::string, record, std::less<>>::iterator found);

    keeper_settings settings;
    std::optional<time_point> started;
    std::map<std::string, record, std::less<>> records;
    std::multimap<time_point, std::string> expiries;
    std::size_t kept_bytes{};
    std::size_t running_count{};
    std::uint64_t prefix_count{};
};

} // namespace bth::once
