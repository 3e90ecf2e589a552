// The requests that an entry host has accepted but not yet finished. Each has a row with its phase
// and the resources that it holds.
//
//   request_table table;
//   request_row& row = table.add(request, level);
//   table.erase(request.id);
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/steering/events.h"
#include "bth/steering/model_map.h"
#include "bth/steering/shift_limiter.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bth::steering {

// The phase of an unfinished request.
enum class request_phase : std::uint8_t {
    waiting,   // In the queue of its service.
    at_target, // An attempt is in flight at a target.
    at_peer,   // Forwarded to another entry host.
};

// The resources that a request holds in addition to its slot at a target. They are returned by
// node::state::release_resources.
struct held_resources {
    // Whether the request counts as in flight in the service's part of the failure domain's cap.
    bool domain_capacity{};
    // The host of another domain whose grant the request uses; empty for requests of this domain.
    std::optional<host_id> holder;
};

// The entry of a request in the shift limiter. It can be withdrawn until the request is sent to a
// target here.
struct shift_reservation {
    shift_query query;
    shift_verdict verdict;
    // When the shift limiter counted the request.
    time_point counted_at;
};

struct request_row {
    arrival request;
    priority_level level;
    request_phase phase{request_phase::waiting};
    // The target of the current attempt. Empty if a new configuration has removed the target.
    std::optional<target_id> target;
    // The entry host to which the request is forwarded.
    std::optional<host_id> peer;
    held_resources held;
    // Targets and entry hosts of failed attempts, which further attempts avoid.
    std::vector<target_id> tried_targets;
    std::vector<host_id> tried_peers;
    // Whether the first attempt is counted in the retry budget.
    bool first_attempt_counted{};
    std::optional<shift_reservation> shift;
    // If set, the request may only be forwarded to this domain, to which the shift limiter assigned
    // the domain of its caller.
    std::optional<domain_id> only_domain;
    // When the current attempt started.
    time_point attempt_started_at;
    // Whether a failed attempt may have run the request. A refusal then can't state that the
    // request didn't run.
    bool may_have_run{};
    // Whether a new configuration has removed the service. The request then ends with its current
    // attempt.
    bool orphaned{};

    // Returns whether the current or next attempt is a retry.
    bool is_retry() const
    {
        return !this->tried_targets.empty() || !this->tried_peers.empty() || this->request.retry;
    }
    bool has_tried(target_id target) const
    {
        return std::find(this->tried_targets.begin(), this->tried_targets.end(), target) !=
               this->tried_targets.end();
    }
    bool has_tried(host_id host) const
    {
        return std::find(this->tried_peers.begin(), this->tried_peers.end(), host) !=
               this->tried_peers.end();
    }
};

// The rows are ordered by request id, so that iterating over them is deterministic.
class request_table {
public:
    // Adds a waiting row for `request`, or replaces the row with the same id.
    request_row& add(const arrival& request, priority_level level);
    // Returns the row of a request, or nullptr.
    request_row* find(request_id id);
    const request_row* find(request_id id) const;
    void erase(request_id id);
    // Replaces the ids of the previous configuration in every row by those that `change` maps them
    // to. Does nothing if `change` is nullptr.
    void remap(const model_map* change);

    std::size_t size() const { return this->rows.size(); }
    bool empty() const { return this->rows.empty(); }
    const std::map<request_id, request_row>& all() const { return this->rows; }

private:
    std::map<request_id, request_row> rows;
};

} // namespace bth::steering
