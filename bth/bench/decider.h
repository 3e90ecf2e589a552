// What the bench drives: one decider an entry host, called exactly as the shell calls
// bth::steering::node. The baselines are other models of the same concept.
#pragma once

#include "bth/steering/node.h"

#include <concepts>

namespace bth::bench {

template <class T>
concept decider = requires(T each, const steering::arrival& request,
                           const steering::attempt_result& result,
                           const steering::peer_message& message,
                           const steering::load_report& report, const steering::platform_list& list,
                           const steering::lookup_query& query,
                           std::shared_ptr<const config::model> model, time_point now,
                           clock_reading clocks, host_id host)
{
    {
        each.apply(model, revision{1}, clocks)
        } -> std::same_as<steering::actions>;
    {
        each.arrive(request, now)
        } -> std::same_as<steering::actions>;
    {
        each.finished(result, now)
        } -> std::same_as<steering::actions>;
    {
        each.receive(host, message, now)
        } -> std::same_as<steering::actions>;
    {
        each.peer_lost(host, now)
        } -> std::same_as<steering::actions>;
    {
        each.report(report, now)
        } -> std::same_as<steering::actions>;
    {
        each.platform(list, now)
        } -> std::same_as<steering::actions>;
    {
        each.tick(clocks)
        } -> std::same_as<steering::actions>;
    {
        each.lookup(query, now)
        } -> std::same_as<steering::lookup_answer>;
};

// What a decider is made from.
struct host_setup {
    std::string name;
    host_id host;
    incarnation life;
    std::uint64_t seed{};
};

} // namespace bth::bench
