// One request with an Idempotency-Key: asks the records whether it may run, watches its answer, and
// tells the records how it ended.
//
//   keyed_request keyed{records, key};
//   const once::verdict what = keyed.begin(identity, now);
//   if (what.action == once::decision::run) { ...; keyed.take_head(head); keyed.take_part(part);
//       keyed.end(now); }
//
// A run that ends without a word about its answer counts as run with an unknown outcome.
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
// Names the entry host that keeps the record of a key.
inline constexpr std::string_view key_host_field = "Bth-Key-Host";

class keyed_request {
public:
    keyed_request(once::idempotency_store& records, std::string key);

    // `identity` is the text of all that makes it the same request.
    once::verdict begin(std::string_view identity, time_point now);

    void take_head(const answer_head& head);
    void take_part(const body_chunk& part);
    void take_refusal(run_state run);
    // Tells the records how the run ended.
    void end(time_point now);

private:
    once::idempotency_store& records;
    std::string key;
    once::run_outcome how{once::run_outcome::unknown};
    once::stored_answer answer;
};

// The answer to a request that doesn't run: the first run's answer, or a refusal.
whole_answer answer_without_run(const once::verdict& verdict);

} // namespace bth::entry
