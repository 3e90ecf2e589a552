// The requests that an entry host has accepted and not yet finished: one row each, with where the
// request is and what it holds.
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

// Where a request is.
enum class request_phase : std::uint8_t {
    waiting,   // In the queue of its service.
    at_target, // A try runs at a target.
    at_peer,   // Another entry host has it.
};

// What a request holds beside its slot at a target; node::state::release gives all of it back.
struct held_resources {
    // A place in the part of the failure domain's capacity that belongs to the service.
    bool domain_part{};
    // The host under whose grant it was taken; none for an own caller.
    std::optional<host_id> holder;
};

// That a request counts in the shift limiter, until it is sure that it runs here.
struct shift_hold {
    shift_query query;
    shift_verdict verdict;
    time_point counted;
};

struct request_row {
    arrival request;
    priority_level level;
    request_phase phase{request_phase::waiting};
    // The target of the present try. Empty if the target has left the configuration since.
    std::optional<target_id> target;
    // The entry host that has the request.
    std::optional<host_id> peer;
    held_resources held;
    // Targets and entry hosts of failed tries, which further tries avoid.
    std::vector<target_id> tried_targets;
    std::vector<host_id> tried_peers;
    // Whether the first try is counted in the retry budget.
    bool first_try_counted{};
    std::optional<shift_hold> shift;
    // The only other domain that may serve the request: its home's assignment says so.
    std::optional<domain_id> only_domain;
    // When the present try began.
    time_point try_began;
    // Whether a failed try may have run the request: its refusal then can't say that it didn't run.
    bool may_have_run{};
    // Whether the service has left the configuration; the request then ends with its present try.
    bool orphaned{};

    // Whether the present or next try is a retry.
    bool retried() const
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

// Rows in order of their ids, so that every pass over them is the same in every run.
class request_table {
public:
    request_row& add(const arrival& request, priority_level level);
    // The row of a request, or nullptr.
    request_row* find(request_id id);
    const request_row* find(request_id id) const;
    void erase(request_id id);
    // Puts the ids of `change` into force in every row; nullptr changes nothing.
    void remap(const model_map* change);

    std::size_t size() const { return this->rows.size(); }
    bool empty() const { return this->rows.empty(); }
    const std::map<request_id, request_row>& all() const { return this->rows; }

private:
    std::map<request_id, request_row> rows;
};

} // namespace bth::steering
