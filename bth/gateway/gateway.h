// The request path of an entry host in highest-version mode: takes requests of callers, sends them
// to targets, and answers for the outcome.
//
//   auto made = std::make_shared<gateway>(context, settings, names, events);
//   made->take(update_from_the_control_host, decoded_configuration);
//   answer got = co_await made->serve(request, control);
#pragma once

#include "bth/dispatch/board.h"
#include "bth/dispatch/host_count.h"
#include "bth/dispatch/ownership.h"
#include "bth/dispatch/placement.h"
#include "bth/dispatch/region_share.h"
#include "bth/dispatch/retry_window.h"
#include "bth/fleet/messages.h"
#include "bth/gateway/answer.h"
#include "bth/gateway/fields.h"
#include "bth/gateway/handoff_desk.h"
#include "bth/gateway/metrics.h"
#include "bth/gateway/split.h"
#include "bth/gateway/target_pool.h"
#include "bth/gateway/target_send.h"
#include "bth/route/model.h"
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

// Limits that all hosts keep together.
struct fleet_limits {
    // Requests sent once more, as a share of the first ones and in number, in any window.
    double retry_ratio{};
    double retry_slack{};
    duration retry_window{};
    // What a cold target bears: its rate times the factor, and so many more, in any second.
    double cold_factor{};
    double cold_slack{};
};

struct gateway_settings {
    // The name under which the other entry hosts know this one.
    std::string name;
    std::string domain;
    dispatch::domain_regions regions;
    fleet_limits limits;
};

// One request of a caller while it is served.
struct served_request {
    caller_request head;
    time_point begun;
    std::shared_ptr<send_control> control{std::make_shared<send_control>()};
};

class gateway : public std::enable_shared_from_this<gateway> {
public:
    gateway(boost::asio::io_context& context, gateway_settings settings, field_names names,
            shell::event_log& events);

    // Takes news of the control host; the configuration is set if it is new. What is older than
    // what is held is passed over.
    void take(const fleet::update& news, std::optional<route::configuration> configuration);

    boost::asio::awaitable<answer> serve(std::shared_ptr<served_request> request);

    // Takes part in handing requests to the owners of their targets, over `link`.
    void join(std::shared_ptr<shell::peer_link> link);
    // Requests that are under way here for callers of other hosts.
    std::size_t taken() const { return this->desk ? this->desk->taken() : 0; }

    bool is_configured() const { return this->version != route::config_version{}; }
    route::config_version held_version() const { return this->version; }
    fleet::agreed_index held_index() const { return this->index; }
    const route::caller_limits& limits() const { return this->table.source().limits; }
    void sweep(time_point now) { this->pool.sweep(now); }

    // Callers' connections that are open; kept by the sessions.
    std::size_t callers{};
    bool stopping{};
    gateway_metrics metrics;
    shell::event_log* events;

    std::string render_metrics(bool ready);

private:
    // One request on its way: what was decided so far.
    struct passage {
        std::shared_ptr<served_request> request;
        const route::route* way{};
        std::string service;
        std::string id;
        std::string path;
        time_point due;
        time_point objective_due;
        dispatch::object_key key{};
        std::uint32_t sends{};
        // Targets that could not be reached.
        std::uint32_t unreached{};
        // Owners that would not take it.
        std::uint32_t declined{};
        dispatch::fractional_ms declined_wait{};
        std::vector<dispatch::target_ptr> tried;
        bool may_have_run{};
    };
    // What one send needs to know of its request.
    struct sending {
        dispatch::placement where;
        std::string route;
        std::string service;
        std::string request_id;
        dispatch::object_key object{};
        std::string bytes;
        bool to_head{};
        bool once{};
    };

    void take_evacuated(time_point now, const std::set<std::string>& domains,
                        fleet::agreed_index agreed);
    boost::asio::awaitable<answer> pass(passage now_at);
    std::optional<answer> refuse_early(const served_request& request, const std::string& id);
    dispatch::placement_question make_question(const passage& now_at);
    std::string request_bytes(const passage& now_at, const dispatch::placement& where,
                              time_point now) const;
    // Sends by way of the target's owner, or directly. Nothing if the owner declined.
    boost::asio::awaitable<std::optional<send_result>> send(passage& now_at,
                                                            const dispatch::placement& where);
    boost::asio::awaitable<std::optional<send_result>>
    hand_over(passage& now_at, const std::string& owner, sending what);
    boost::asio::awaitable<send_result> send_directly(std::shared_ptr<send_control> control,
                                                      sending what);
    std::optional<dispatch::placement> judge_order(const handoff_order& order,
                                                   handoff_outcome& out);
    // Serves a request that another host handed to this one.
    boost::asio::awaitable<handoff_outcome> serve_order(std::shared_ptr<const handoff_order> order,
                                                        std::shared_ptr<send_control> control);
    const std::string& owner_of(const dispatch::target_facts& target) const;
    std::string sender_to(const dispatch::target& target) const;
    void learn(const sending& what, const send_result& got, dispatch::fractional_ms took);
    bool may_send_again(passage& now_at, const send_result& got);
    answer refuse(const passage& now_at, refusal_reason reason, duration come_back);
    answer finish(const passage& now_at, answer made, std::string_view ended_by);
    answer end_failed(const passage& now_at, const send_result& got);
    std::uint32_t cold_allowance(const std::string& service) const;
    double away_share(time_point now, const std::string& service);
    void note_belief(time_point now, const dispatch::target& target, std::uint32_t failures_before,
                     const send_result& got);
    dispatch::work_estimate& work_of(const std::string& route, const std::string& service);
    duration spread(dispatch::fractional_ms base, time_point due);

    boost::asio::io_context* context;
    gateway_settings settings;
    field_names names;
    std::string region;
    route::config_version version;
    fleet::agreed_index index;
    route::route_table table;
    dispatch::target_board board;
    target_pool pool;
    std::map<std::string, weighted_split> splits;
    std::map<std::string, dispatch::work_estimate> work;
    std::map<std::string, dispatch::retry_window> retries;
    std::map<std::string, dispatch::steady_share> away;
    dispatch::host_count entry_hosts;
    dispatch::target_owners owners;
    std::shared_ptr<handoff_desk> desk;
    std::size_t in_flight{};
    std::mt19937 random{std::random_device{}()};
};

} // namespace bth::gateway
