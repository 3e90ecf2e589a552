// Runs a request that is not idempotent at most once, however often its caller resends it with the
// same idempotency key.
//
// The entry host that issued a key's prefix keeps the key's record, in memory; every other host
// forwards the request to it. A key is accepted for a first run only until a fixed lifetime after
// the epoch of its prefix, and its record is not erased before that time: once the record is
// erased, the key is too old to run again. A key that an earlier incarnation of the host issued is
// refused as run with an unknown outcome, since its record was lost with that incarnation. So
// neither a crash nor an expiry lets a request with a prefixed key run twice.
//
// A key without a prefix is only known to the host that received it, and only until it expires.
//
//   idempotency_store store{{.host_name = "a1", .incarnation_number = incarnation{1}}};
//   const verdict result = store.begin(key, fingerprint, now);
//   if (result.action == decision::run) {
//       ...
//       store.finish(key, run_outcome::answered, answer, now);
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

struct idempotency_store_settings {
    // The name of this host, part of the prefixes that it issues.
    std::string host_name;
    incarnation incarnation_number;
    // A prefix is issued during one epoch and accepted until `lifetime` after the epoch's end.
    duration epoch_length{std::chrono::minutes{1}};
    duration lifetime{std::chrono::minutes{10}};
    // While the store holds this many records, new keys are refused as not run.
    std::size_t max_records{50'000};
    // Larger answers aren't stored; a resend is then only told that the request has run.
    std::size_t max_answer_bytes{16'384};
    // Limit for all stored answers together.
    std::size_t max_stored_bytes{8'388'608};
};

// The response of a finished run, stored to be replayed to resends.
struct stored_answer {
    unsigned status{};
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

enum class decision : std::uint8_t {
    run,     // Run the request, then call `finish`.
    forward, // Another host keeps the record: forward the request to it, once.
    replay,  // The request has run: send the stored answer.
    refuse,  // Refuse the request.
};

// The result of `begin`: what to do with the request.
struct verdict {
    decision action{decision::refuse};
    // With `forward`: the name of the host that keeps the record.
    std::string host;
    // With `replay`: the answer to send; valid until the next call of the store.
    const stored_answer* answer{};
    // With `refuse`: the reason, whether the request has run, and after which time to resend it
    // (zero if no time is given).
    refusal_reason reason{refusal_reason::already_run};
    run_state run{run_state::unknown};
    duration retry_after{};
};

// The outcome of a run.
enum class run_outcome : std::uint8_t {
    answered, // The target sent a complete answer.
    not_run,  // The request certainly didn't run: a resend may run.
    unknown,  // The request may have run.
};

class idempotency_store {
public:
    explicit idempotency_store(idempotency_store_settings given);

    // Issues a key prefix for one lookup response. Every prefix is unique, so that two callers who
    // append the same suffix don't share a key; the response must therefore not be stored by
    // caches that several callers share.
    std::string prefix(time_point now);

    // Decides whether a request runs. `fingerprint` is a hash of all that identifies the request:
    // caller class, service, method, path, and the body where it is known. The same key with
    // another fingerprint is refused, so that no caller receives the answer to another request.
    verdict begin(std::string_view key, std::uint64_t fingerprint, time_point now);
    // Records the outcome of a run that `begin` allowed; has no effect if the key isn't running.
    void finish(std::string_view key, run_outcome outcome, std::optional<stored_answer> answer,
                time_point now);

    std::size_t size() const { return this->records.size(); }
    std::size_t running_requests() const { return this->running_count; }

private:
    enum class record_state : std::uint8_t { running, not_run, answered, unknown };
    struct record {
        std::uint64_t fingerprint{};
        record_state state{record_state::running};
        std::optional<stored_answer> answer;
        time_point expires;
    };
    std::uint64_t epoch_at(time_point now);
    // Returns the time from which a key is no longer accepted; nothing if another incarnation
    // issued its prefix or its epoch is in the future.
    std::optional<time_point> key_expiry(const std::optional<key_origin>& origin, time_point now);
    // Erases the records whose keys have expired, except those of running requests.
    void erase_expired(time_point now);
    // Decides about a request whose key has a record.
    static verdict decide(const record& known, std::uint64_t fingerprint);
    // Stores an answer for replay unless it exceeds a limit.
    void store_answer(record& known, std::optional<stored_answer> answer);
    void erase_record(std::map<std::string, record, std::less<>>::iterator found);

    idempotency_store_settings settings;
    // The start of epoch 0: the time passed to the first call of epoch_at().
    std::optional<time_point> epoch_zero_start;
    std::map<std::string, record, std::less<>> records;
    // Keys by the time at which their records are due to be erased.
    std::multimap<time_point, std::string> expiries;
    std::size_t stored_bytes{};
    std::size_t running_count{};
    // Prefixes issued so far; makes each prefix unique.
    std::uint64_t prefix_count{};
};

} // namespace bth::once
