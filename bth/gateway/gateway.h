// The request path of an entry host in highest-version mode (the configuration with the highest
// version is in force): accepts requests of callers, sends them to targets and returns the
// responses.
//
//   auto request_gateway = std::make_shared<gateway>(context, settings, header_names, events);
//   request_gateway->apply_update(update_from_the_control_host, decoded_configuration);
//   caller_response response = co_await request_gateway->serve(request);
#pragma once

#include "bth/dispatch/allowance.h"
#include "bth/dispatch/cold_share.h"
#include "bth/dispatch/crash_ledger.h"
#include "bth/dispatch/host_count.h"
#include "bth/dispatch/load_board.h"
#include "bth/dispatch/placement.h"
#include "bth/dispatch/region_share.h"
#include "bth/dispatch/request_fingerprint.h"
#include "bth/dispatch/retry_window.h"
#include "bth/dispatch/sender_roster.h"
#include "bth/dispatch/target_contact.h"
#include "bth/dispatch/target_registry.h"
#include "bth/fleet/messages.h"
#include "bth/gateway/caller_response.h"
#include "bth/gateway/fields.h"
#include "bth/gateway/metrics.h"
#include "bth/gateway/request_forwarder.h"
#include "bth/gateway/split.h"
#include "bth/gateway/target_pool.h"
#include "bth/gateway/target_send.h"
#include "bth/route/customer_directory.h"
#include "bth/route/model.h"
#include "bth/route/route_knowledge.h"
#include "bth/shell/event_log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bth::gateway {

// Limits on all entry hosts together.
struct fleet_limits {
    // Maximum number of retries in any window of length `retry_window`: `retry_ratio` times the
    // number of first attempts in the window, plus `retry_slack`.
    double retry_ratio{};
    double retry_slack{};
    duration retry_window{};
    // Maximum number of requests to a cold target in any second: its configured rate times
    // `cold_factor`, plus `cold_slack`. A target is cold for a while after its start.
    double cold_factor{};
    double cold_slack{};
};

struct gateway_settings {
    // The name by which the other entry hosts know this host.
    std::string name;
    // The failure domain of this host.
    std::string domain;
    dispatch::domain_regions regions;
    fleet_limits limits;
    // The time after which no request may reach a target that leaves.
    duration drain_time{};
    // How far requests of a customer may exceed its limit.
    dispatch::allowance_terms allowance_terms{};
    // Whether loads that targets report are told to the other entry hosts.
    bool tells_target_loads{};
    // How long after the last word of a control host in contact keys are accepted; forever if 0.
    duration key_validity{};
    // The memory of responses that are being received.
    shell::receive_limits response_memory{};
    // The memory of requests that are being received or served.
    shell::receive_limits request_memory{};
};

// The times of a stop; see stop_plan.
struct stop_times {
    time_point accept_long_until;
    time_point answer_by;
};

// A request of a caller that is being served.
struct served_request {
    caller_request message;
    std::unique_ptr<shell::receive_budget::share> memory;
    time_point started;
    std::shared_ptr<send_control> control{std::make_shared<send_control>()};
};

class gateway : public std::enable_shared_from_this<gateway> {
public:
    gateway(boost::asio::io_context& context, gateway_settings settings, field_names header_names,
            shell::event_log& events);

    // Applies an update of a control host. `configuration` is the decoded configuration of the
    // update, if it has one. A configuration that isn't newer than the one in force and evacuations
    // with an older index are ignored.
    void apply_update(const fleet::update& update,
                      std::optional<route::configuration> configuration);

    // Sends a request to one target after another until one answers, retries are exhausted or the
    // deadline passes, and returns the response for the caller.
    boost::asio::awaitable<caller_response> serve(std::shared_ptr<served_request> request);

    // Starts to forward requests to the senders of their targets over `link`, and to serve those
    // that other hosts forward to this one. `use_host` connects the link to a host.
    void enable_forwarding(std::shared_ptr<shell::peer_link> link,
                           request_forwarder::use_handler use_host);
    // Sets what returns where another entry host listens for the hosts of the fleet; nullopt if
    // that is unknown.
    void set_host_resolver(std::function<std::optional<endpoint>(const std::string& host)> resolver)
    {
        this->host_resolver = std::move(resolver);
    }
    // Returns the number of requests in flight that other hosts forwarded to this one.
    std::size_t forwarded_in_flight() const
    {
        return this->forwarder ? this->forwarder->forwarded_in_flight() : 0;
    }

    // The crashes of targets that this host saw or heard of.
    std::shared_ptr<const dispatch::crash_ledger> crash_ledger() const { return this->crashes; }
    // Sets what is called when this host has seen a target crash.
    void on_crash(std::function<void()> handler) { this->crash_handler = std::move(handler); }

    // Returns the usage of customers for a report to the control host.
    std::vector<dispatch::customer_usage> report_usage();
    // Returns the loads of targets that the control host may lack; empty unless they are told.
    std::vector<dispatch::told_load> report_loads();
    // Sets what is called when the usage of a customer should be reported soon.
    void on_usage_change(std::function<void()> handler)
    {
        this->usage_handler = std::move(handler);
    }

    // Sets what is called when this host has lost its way to all targets, or found it again.
    void on_reach_change(std::function<void(bool reaches_targets)> handler)
    {
        this->reach_handler = std::move(handler);
    }

    bool is_configured() const { return this->version != route::config_version{}; }
    // The version of the configuration in force; 0 before the first one.
    route::config_version held_version() const { return this->version; }
    // The highest index of an update applied so far.
    fleet::agreed_index held_index() const { return this->index; }
    const route::caller_limits& caller_limits() const
    {
        return this->routes.source_configuration().limits;
    }
    // The id that the caller gave the request; empty if it has none.
    std::string_view request_id(const caller_request& request) const;
    // Requests of callers and of other hosts that are being served.
    std::size_t requests_in_flight() const { return this->in_flight; }
    // Closes idle connections to targets that the targets are about to close.
    void sweep(time_point now) { this->connections.sweep(now); }

    // Begins the stop of this host: requests that come from now on are answered by `answer_by`, or
    // refused at once if they would take longer, or might after `accept_long_until`. The process
    // must not exit before.
    void begin_stop(const stop_times& times) { this->stop = times; }
    bool is_stopping() const { return this->stop.has_value(); }
    // Ends the requests of callers that are in flight as if their deadlines had passed.
    void end_requests();

    // The memory of the requests of all callers.
    shell::receive_budget& request_memory() { return this->request_budget; }

    // Open connections of callers; counted by the sessions.
    std::size_t callers{};
    gateway_metrics metrics;
    shell::event_log* events;

    // Returns all metrics in the Prometheus text format.
    std::string render_metrics(bool ready);

private:
    // The state of a request in flight over all its attempts.
    struct request_state {
        std::shared_ptr<served_request> request;
        const route::route* matched_route{};
        std::string service;
        std::string id;
        std::string path;
        dispatch::request_fingerprint fingerprint;
        // Who sends the request, if callers need a key, and the digest of the key.
        std::shared_ptr<const route::customer> customer;
        std::optional<route::key_digest> key;
        // Whether the request's credentials are meant for this system and not for targets.
        bool has_own_credentials{};
        // 0 is the most urgent.
        std::uint32_t priority{};
        // The regions that may serve the request; all regions if empty.
        std::vector<std::string> allowed_regions;
        // When the response is due, and when the latency objective of the route is missed.
        time_point deadline;
        time_point objective_deadline;
        // When the caller stops waiting.
        time_point caller_deadline;
        // Whether the response is due earlier than the caller wants it, since this host stops.
        bool is_due_before_stop{};
        // 0 if the route has no affinity or the request names no object.
        dispatch::object_key object{};
        // Number of attempts, without those that could not reach their target.
        std::uint32_t attempts{};
        std::uint32_t unreachable_targets{};
        // How often the request was declined by a sender or withheld here, and the wait that was
        // expected the last time.
        std::uint32_t declines{};
        dispatch::fractional_ms last_declined_wait{};
        std::vector<dispatch::target_ptr> tried_targets;
        bool may_have_run{};
        // The replies that hosts which fell silent still owe; cancelled when the request ends.
        std::vector<std::shared_ptr<request_forwarder::late_reply>> late_replies;
    };
    // One attempt of a request at a target.
    struct outgoing_request {
        dispatch::placement placement;
        std::string route;
        std::string service;
        std::string request_id;
        dispatch::request_fingerprint fingerprint;
        dispatch::object_key object{};
        // The complete HTTP request to send to the target.
        std::string request_bytes;
        bool is_head{};
        bool at_most_once{};
        // When the response is due.
        time_point deadline;
        // Whether another host forwarded the request to this one.
        bool forwarded{};
    };

    void apply_evacuations(time_point now, const std::set<std::string>& domains,
                           fleet::agreed_index agreed);
    boost::asio::awaitable<caller_response> send_with_retries(request_state& state);
    // Finds the customer that sends the request and what binds it. Returns the refusal of a request
    // that may not be served for it.
    std::optional<caller_response> identify_customer(request_state& state);
    // Returns the refusal of a request whose key is unknown, or may be.
    caller_response refuse_key(const request_state& state);
    bool is_key_withdrawn(const request_state& state) const;
    // Returns the refusal of a request for which its customer has no allowance left.
    std::optional<caller_response> charge_allowance(const request_state& state);
    std::optional<caller_response> refuse_unroutable(const served_request& request,
                                                     const std::string& id);
    dispatch::placement_request make_placement_question(const request_state& state);
    // Returns the HTTP request to send; without the field that names the expected target if
    // `target` is null.
    std::string request_bytes(const request_state& state, const dispatch::target* target,
                              time_point now) const;
    // Sends directly or through one of the target's senders. Returns nullopt if that declined, or
    // if the target accepts no further request now; nothing was sent then.
    boost::asio::awaitable<std::optional<send_result>> send(request_state& state,
                                                            const dispatch::placement& placement);
    boost::asio::awaitable<std::optional<send_result>>
    forward_to_sender(request_state& state, const std::string& sender, outgoing_request outgoing);
    // Records that the request can't go to the target now, and for how long others are preferred.
    void decline(request_state& state, dispatch::target& target, const std::string& sender,
                 std::string_view reason);
    boost::asio::awaitable<send_result> send_directly(std::shared_ptr<send_control> control,
                                                      outgoing_request outgoing);
    // Lets another host send a request, since this one reaches no target. Returns nullopt if none
    // does; nothing was sent then.
    boost::asio::awaitable<std::optional<send_result>> relay(request_state& state);
    std::vector<std::string> relay_candidates(const request_state& state);
    handoff_request make_relayed_request(const request_state& state) const;
    // Sends a request of a host that reaches no target to a target that this host selects.
    boost::asio::awaitable<void> serve_relayed(std::shared_ptr<const handoff_request> handoff,
                                               std::shared_ptr<send_control> control,
                                               handoff_outcome& out);
    dispatch::placement_request make_handoff_question(const handoff_request& handoff);
    // Records what an attempt shows of this host's way to the targets.
    void record_contact(time_point now, const dispatch::target& target, const send_result& result);
    // Starts to test a suspicion that this host is cut off, if there is one to be tested.
    void start_watching_contact(time_point now);
    // Returns how long a connection to a process in the failure domain may take.
    duration connect_timeout(const std::string& domain) const;
    // Probes targets until a suspicion is settled and, if this host is cut off, until it reaches a
    // target again.
    boost::asio::awaitable<void> watch_contact();
    // The results of the probes that test a suspicion.
    struct contact_results {
        dispatch::probe_results targets;
        dispatch::probe_results neighbours;
    };
    struct probed_host {
        endpoint address;
        duration timeout{};
    };
    // Probes targets and other entry hosts, all at the same time. Doesn't wait for the hosts once
    // the targets alone tell enough.
    boost::asio::awaitable<contact_results> probe_all(std::vector<dispatch::target_ptr> targets,
                                                      std::vector<probed_host> hosts);
    // Selects the other entry hosts to probe beside the targets.
    std::vector<probed_host> choose_probed_hosts();
    void apply_contact_change(time_point now);
    // Waits until a suspicion that this host is cut off is settled, for a moment at most.
    boost::asio::awaitable<void> await_contact_test();
    std::optional<dispatch::placement> admit_handoff(const handoff_request& handoff,
                                                     handoff_outcome& out);
    // Serves a request that another host forwarded to this one.
    boost::asio::awaitable<handoff_outcome>
    serve_handoff(std::shared_ptr<const handoff_request> handoff,
                  std::shared_ptr<send_control> control);
    // Returns the host that sends a request to the target; nullopt if none can now.
    std::optional<std::string> sending_host(const dispatch::target& target);
    // Returns whether a request may be written to the target now, and counts it if so. Everything
    // that this host sends passes here, right before its first byte.
    bool admit_write(dispatch::target& target, dispatch::request_fingerprint fingerprint);
    // Returns whether this host is a sender of the target, which accepts only few requests.
    bool is_sender(time_point now, const dispatch::target& target) const;
    void update_work_estimate(const outgoing_request& outgoing, const send_result& result,
                              dispatch::fractional_ms took);
    // Waits until the request may be sent as far as crashes of targets tell. Returns its refusal if
    // it may not, and nullopt if it may be sent or was cancelled meanwhile.
    boost::asio::awaitable<std::optional<caller_response>> await_trial(request_state& state);
    dispatch::crash_judgement judge_crashes(const request_state& state);
    bool is_barred(time_point now, dispatch::request_fingerprint request);
    dispatch::host_view crash_view(time_point now) const;
    // Returns whether a target that broke a connection off has crashed: it refuses new connections.
    // A connection may also have been reset on the way.
    boost::asio::awaitable<bool> has_crashed(dispatch::target_ptr target);
    // Records that a target crashed with the request, by the time at which its connection ended, or
    // answered it.
    void record_crash(const dispatch::target& target, const std::string& request_id,
                      dispatch::request_fingerprint fingerprint, time_point at);
    void record_completion(const request_state& state);
    void merge_crash_news(time_point now, const dispatch::crash_news& news);
    // Records the load that a target reported with the answer to a request that took `took`.
    void observe_load(time_point now, const dispatch::target& target,
                      const dispatch::load_report& load, duration took);
    // Records loads that other hosts observed.
    void apply_told_loads(time_point now, const std::vector<dispatch::told_load>& told);
    // Returns the final response to a request by the result of an attempt, or nullopt if it is to
    // be tried again.
    boost::asio::awaitable<std::optional<caller_response>> end_or_retry(request_state& state,
                                                                        send_result result);
    // Keeps the reply that a silent host owes. An answer ends the attempt in progress when it
    // comes.
    void add_late_reply(request_state& state, std::shared_ptr<request_forwarder::late_reply> reply);
    // Returns the answer of a target among the late replies; null if there is none.
    const caller_response* late_answer(const request_state& state) const;
    // Waits for the replies that silent hosts still owe, before a request ends without an answer of
    // a target. Returns the first answer among them; nullopt if there is none, or if the request
    // was cancelled.
    boost::asio::awaitable<std::optional<caller_response>> await_late_answer(request_state& state);
    bool spend_retry(request_state& state, const send_result& result);
    caller_response refuse(const request_state& state, refusal_reason reason, duration retry_after);
    caller_response finish(const request_state& state, caller_response response,
                           std::string_view ended_by);
    caller_response make_failure_response(const request_state& state, const send_result& result);
    dispatch::cold_rate_split cold_split(const std::string& service) const;
    // Returns how many hosts send to a target that accepts only few requests.
    std::size_t sender_count(time_point now, const dispatch::target& target) const;
    double remote_object_share(time_point now, const std::string& service);
    // Records what a target said about itself in the answer to a request.
    void record_signals(time_point now, dispatch::target& target, const target_signals& signals,
                        std::string_view request_id);
    bool is_in_own_region(const dispatch::target& target) const
    {
        return this->board.region_of(target.info().domain) == this->region;
    }
    // Returns whether this host, which is in another region, is to find out now whether the limit
    // that the target named still holds.
    bool is_limit_probe_due(time_point now, const dispatch::target& target) const
    {
        return target.limit() && !target.is_cold(now) && !this->is_in_own_region(target) &&
               target.is_limit_probe_due(now);
    }
    void defer_limit_probe(time_point now, dispatch::target& target) const;
    void record_limit(time_point now, dispatch::target& target, const target_signals& signals,
                      std::string_view request_id);
    // Logs the targets that an update of the list shows as leaving for the first time.
    void log_leaving(const std::vector<dispatch::target_info>& changed);
    // Returns when the caller of a request that can't be placed should come back.
    duration return_time(const request_state& state, const dispatch::placement_error& failure);
    // Returns the refusal of a request that can't be placed.
    caller_response refuse_unplaced(const request_state& state,
                                    const dispatch::placement_error& failure);
    void log_ejection_change(time_point now, const dispatch::target& target,
                             std::uint32_t failures_before, const send_result& result);
    dispatch::service_time_estimate& work_estimate_for(const std::string& route,
                                                       const std::string& service);
    duration jittered_retry_after(dispatch::fractional_ms base, time_point deadline);

    boost::asio::io_context* context;
    gateway_settings settings;
    field_names header_names;
    std::string region;
    route::config_version version;
    fleet::agreed_index index;
    route::route_table routes;
    route::route_knowledge knowledge;
    route::digest_secret key_secret{route::make_digest_secret()};
    route::customer_directory customers;
    dispatch::allowance_table allowances;
    // When a control host in contact with the others was heard last.
    std::optional<time_point> last_contact;
    std::function<void()> usage_handler;
    // Set once this host stops.
    std::optional<stop_times> stop;
    // The loads observed here, and the place up to which they were reported.
    dispatch::load_board loads;
    std::uint64_t reported_loads{};
    // The mean time from sending a request of a service to its answer, over about twenty answers.
    std::map<std::string, dispatch::fractional_ms, std::less<>> typical_times;
    std::map<dispatch::target_key, dispatch::target_ptr> targets_by_key;
    dispatch::target_registry board;
    dispatch::network_delays delays;
    target_connection_pool connections;
    shell::receive_budget request_budget;
    route_splits splits;
    std::map<std::string, dispatch::service_time_estimate> work_estimates;
    std::map<std::string, dispatch::retry_window> retry_windows;
    std::map<std::string, dispatch::rate_limited_share> remote_shares;
    dispatch::host_count_tracker entry_hosts;
    dispatch::sender_roster senders;
    // Differs from one forwarded request to the next, so that all senders get some.
    std::size_t turn{};
    std::shared_ptr<dispatch::crash_ledger> crashes{std::make_shared<dispatch::crash_ledger>()};
    std::function<void()> crash_handler;
    // The requests on trial that are being sent; see crash_verdict.
    std::set<dispatch::request_fingerprint> trials;
    dispatch::target_contact contact;
    bool watches_contact{};
    std::function<void(bool)> reach_handler;
    // The hosts that a control host named to send requests of this one while it is cut off.
    std::vector<fleet::relay_host> relay_hosts;
    std::shared_ptr<request_forwarder> forwarder;
    std::function<std::optional<endpoint>(const std::string& host)> host_resolver;
    std::size_t in_flight{};
    // The requests of callers that are being sent or wait to be sent.
    std::set<std::shared_ptr<send_control>> caller_requests;
    std::mt19937 random{std::random_device{}()};
};

} // namespace bth::gateway
