// One run of a plan: callers, links, targets and the platform are fakes; each entry host is a
// decider that is called as the shell calls bth::steering::node. Virtual time, one thread.
//
//   world<steering::node> run{site, plan, make_node};
//   const outcome measured = run.run();
#pragma once

#include "bth/bench/audit.h"
#include "bth/bench/decider.h"
#include "bth/bench/event_queue.h"
#include "bth/bench/fake_links.h"
#include "bth/bench/fake_target.h"
#include "bth/bench/internal/world_constants.h"
#include "bth/bench/outcome.h"
#include "bth/bench/plan.h"
#include "bth/bench/site.h"
#include "bth/bench/world_rows.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bth::bench {

template <decider Decider>
class world {
public:
    // Makes the decider of a host; the targets stay valid while the world does.
    using factory = std::function<Decider(const host_setup&, const fake_targets&)>;
    // Told one line for each thing that happens, if set; for golden sessions.
    using observer = std::function<void(time_point, const std::string&)>;

    world(const site& given, const run_plan& plan, factory make);

    void observe(const observer& with) { this->watch = with; }
    outcome run();

private:
    struct host_row {
        std::optional<Decider> core;
        incarnation life;
        bool alive{true};
        bool frozen{};
        // Events that wait for the thaw.
        std::vector<event> deferred;
        time_point last_disturbed;
        std::shared_ptr<const config::model> model;
        revision number{1};
    };
    struct message_row {
        host_id from;
        host_id to;
        steering::peer_message message;
    };

    // Time and dispatch.
    void begin();
    void sample();
    void handle(const event& what);
    std::optional<host_id> host_of(const event& what) const;
    clock_reading clocks() const;
    // Tells the observer a line, made only if there is one, from the warm-up on.
    template <class Line>
    void say(Line line);
    template <class Line>
    void say_of(std::uint32_t request, Line line);
    std::string describe(const request_row& row) const;

    // Callers.
    void caller_next(std::uint32_t index, bool send);
    std::uint32_t make_request(const generator& from, std::uint32_t cache, bool external,
                               time_point deadline);
    void send_request(std::uint32_t request);
    void refresh(generator& from, cached_lookup& cache);
    std::optional<host_id> any_host(domain_id home) const;
    void connect_failed(std::uint32_t visit);
    void put_last(const request_row& row, host_id host);
    void caller_limit(std::uint32_t request);
    void finish_request(std::uint32_t request, final_state state, const steering::refuse* refusal);
    void resend(std::uint32_t request);
    void tally(const request_row& row, const steering::refuse* refusal);
    generator& generator_of(domain_id home, service_id service, class_id caller_class);

    // Entry hosts.
    void host_arrival(std::uint32_t visit);
    void host_result(std::uint32_t attempt);
    void host_message(std::uint32_t index);
    void host_tick(host_id host);
    void host_reports(host_id host);
    void host_platform(host_id host);
    void host_cancel(std::uint32_t visit);
    void attempt_limit(std::uint32_t attempt);
    void lose_peer(host_id host, host_id peer);
    void apply_model(host_id host);
    void perform(host_id host, const steering::actions& actions);
    void act(host_id host, const steering::send_to_target& what);
    void act(host_id host, const steering::forward_to_host& what);
    void act(host_id host, const steering::refuse& what);
    void act(host_id host, const steering::abort_attempt& what);
    void act(host_id host, const steering::send_message& what);
    void act(host_id host, const steering::count_retry& what);
    bool may_act(host_id host, request_id id, std::string_view what);
    std::uint32_t new_attempt(std::uint32_t visit, time_point deadline);
    void end_visit(std::uint32_t visit, final_state state);
    void cancel_attempt(std::uint32_t attempt);
    void give_result(std::uint32_t attempt, steering::attempt_outcome outcome, time_point at);
    std::optional<time_point> travel(domain_id from, domain_id to, byte_count bytes);
    region_id region_of(domain_id domain) const;
    domain_id domain_of(host_id host) const;

    // Targets.
    void target_arrival(std::uint32_t attempt);
    void start(target_id target, std::uint32_t attempt);
    void target_done(std::uint32_t attempt);
    void target_cancel(std::uint32_t attempt);
    void leave_target(std::uint32_t attempt);
    void call_dependencies(target_id target, const request_row& parent);
    void word_of_leaving(target_id target);
    void count_in_flight(std::uint32_t attempt, int change);

    // Faults.
    void make_change(const change& what);
    void sample_platform();
    void kill_host(host_id host);
    void start_host(host_id host);
    void thaw_host(host_id host);
    void kill_target(target_id target);
    void start_target(target_id target);
    void cut(region_id a, region_id b, bool is_cut);
    void drain_domain(domain_id domain, int late_host);
    template <class Each>
    void for_hosts_of(domain_id domain, Each each);
    template <class Each>
    void for_targets_of(domain_id domain, Each each);

    const site& place;
    const config::model& model;
    run_plan plan;
    factory make;
    observer watch;
    std::mt19937_64 random;
    time_point now;
    event_queue events;
    fake_links links;
    fake_targets targets;
    audit checks;
    outcome measured;
    std::vector<double> load;
    std::vector<generator> generators;
    std::vector<request_row> requests;
    std::vector<visit_row> visits;
    std::vector<attempt_row> attempts;
    std::vector<message_row> messages;
    std::vector<host_row> hosts;
    std::deque<steering::platform_list> lists;
    std::shared_ptr<const config::model> drained_model;
    time_point last_cut;
    int active_cuts{};
    bool platform_silent{};
};

} // namespace bth::bench

#include "bth/bench/internal/world_actions.h"
#include "bth/bench/internal/world_callers.h"
#include "bth/bench/internal/world_faults.h"
#include "bth/bench/internal/world_hosts.h"
#include "bth/bench/internal/world_run.h"
#include "bth/bench/internal/world_targets.h"
