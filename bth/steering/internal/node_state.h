// What a node holds and the steps by which it decides. node.cpp takes the events, flow.cpp decides
// about requests, step by step in the order declared here.
#pragma once

#include "bth/steering/node.h"
#include "bth/steering/request_table.h"
#include "bth/steering/target_table.h"

#include <memory>
#include <optional>

namespace bth::steering {

inline constexpr duration usual_retry_after = std::chrono::seconds{1};
inline constexpr std::chrono::seconds lookup_max_age{5};

// Why a step refuses, and when the caller may come back.
struct refusal {
    refusal_reason reason{refusal_reason::no_target};
    duration retry_after{usual_retry_after};
};

struct node::state {
    explicit state(node_settings given) : settings{std::move(given)} {}

    // Events about requests.
    void arrive(const arrival& request, time_point now, actions& out);
    void finish(const try_result& result, time_point now, actions& out);
    void cancel_forwarded_by(host_id peer, time_point now, actions& out);

    // The decision steps of an arrival, in order. Each refuses or lets the next one decide.
    std::optional<refusal> check_ready(const arrival& request) const;
    std::optional<refusal> check_available(const arrival& request, time_point now) const;
    std::optional<host_id> owner_elsewhere(const arrival& request, time_point now) const;
    std::optional<refusal> check_origin(request_row& row, time_point now);
    std::optional<refusal> check_domain_part(request_row& row, time_point now);

    // Finds a place for an admitted request: a target, the queue or a fallback domain. Refuses it
    // if there is none.
    void place(request_row& row, time_point now, actions& out);
    bool place_at_target(request_row& row, time_point now, actions& out);
    bool place_at_fallback(request_row& row, time_point now, actions& out);
    // The owner of the service's targets in a fallback domain that has granted room, if any.
    std::optional<host_id> choose_fallback(const request_row& row, time_point now);
    void forward(request_row& row, host_id peer, time_point now, actions& out);

    // Whether the request came from a host of another failure domain.
    bool is_foreign(const arrival& request) const;
    // Ends the present try: gives back the slot and all that the row holds.
    void release(request_row& row, time_point now);
    // Ends the request with a refusal.
    void give_up(request_row& row, const refusal& why, run_state run, actions& out);

    bool ready() const { return this->model != nullptr && this->host.has_value(); }
    domain_id domain() const { return this->model->at(*this->host).domain; }

    node_settings settings;
    std::shared_ptr<const config::model> model;
    revision configuration;
    std::optional<host_id> host;
    request_table requests;
    target_table targets;
    bool stopping{};
    time_point stop_began;
};

} // namespace bth::steering
