// Runs one request with an Idempotency-Key: asks the idempotency records whether it may run,
// collects its response, and reports to the records how the run ended.
//
//   keyed_request keyed{records, key};
//   const once::verdict key_decision = keyed.begin(identity, now);
//   if (key_decision.action == once::decision::run) { ...; keyed.record_head(head);
//       keyed.record_body(part); keyed.finish(now); }
//   else { send(response_without_run(key_decision)); }
//
// A run for which neither the end of a response nor a refusal is recorded counts as run with an
// unknown outcome.
#pragma once

#include "bth/base/time.h"
#include "bth/entry/http_fields.h"
#include "bth/entry/request_body.h"
#include "bth/once/idempotency_store.h"

#include <optional>
#include <string>
#include <string_view>

namespace bth::entry {

inline constexpr std::string_view idempotency_field = "Idempotency-Key";
// Of a response: the entry host that keeps the record of the key.
inline constexpr std::string_view key_host_field = "Bth-Key-Host";

class keyed_request {
public:
    keyed_request(once::idempotency_store& records, std::string key);

    // Decides whether the request may run. `identity` holds every property that a resend of the
    // request must share with it, such as its service and path.
    once::verdict begin(std::string_view identity, time_point now);

    // Record the response that is sent to the caller.
    void record_head(const response_head& head);
    void record_body(const body_chunk& part);
    // Records a refusal. With run_state::no the request did not run, so a later request with the
    // same key may run.
    void record_refusal(run_state run);
    // Reports to the records how the run ended. Called once, if begin() returned decision::run.
    void finish(time_point now);

private:
    once::idempotency_store& records;
    std::string key;
    once::run_outcome outcome{once::run_outcome::unknown};
    once::stored_answer response;
};

// Returns the response to a request that may not run: the stored response of the first run, or a
// refusal. If another entry host keeps the record, the refusal names it in key_host_field.
full_response response_without_run(const once::verdict& key_decision);

} // namespace bth::entry
