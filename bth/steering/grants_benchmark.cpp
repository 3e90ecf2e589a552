// Measures under virtual time:
// - grants_traffic: ownership and grant messages per host and second as domains, hosts and services
//   grow, with every pair of domain and fallback domain in use for every service. The bytes are
//   computed from the content of each message and the lengths of the names in it.
// - takeover: the time without an owner after a crash and after a handover.
// - neighbour: latency and refusals with and without grants of a neighbour domain.
#include "bth/steering/grant_holder.h"
#include "bth/steering/grant_ledger.h"
#include "bth/steering/ownership.h"
#include "bth/steering/testing/ownership_group.h"
#include "bth/steering/testing/site_group.h"
#include "bth/steering/testing/small_site.h"
#include "bth/steering/testing/traffic.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>

namespace {

using namespace bth;
using namespace bth::steering;

constexpr std::size_t fallback_count = 4;
constexpr std::size_t region_count = 4;
// Bytes of each message besides its content: TCP and IP headers, and the frame with its envelope.
constexpr std::size_t overhead_bytes = 54 + 24;
constexpr std::size_t number_bytes = 8;

std::shared_ptr<const config::model> make_model(std::size_t domains, std::size_t hosts,
                                                std::size_t services)
{
    auto out = std::make_shared<config::model>();
    for (std::size_t at = 0; at < region_count; ++at) {
        out->regions.push_back({"region-" + std::to_string(at), {request_rate{1e6}, 1'000'000}});
    }
    for (std::size_t at = 0; at < domains; ++at) {
        config::failure_domain row;
        row.name = "domain-" + std::to_string(at);
        row.region = region_id::from_index(at % region_count);
        row.cap = {request_rate{1e4}, static_cast<std::uint32_t>(6 * services)};
        for (std::size_t step = 1; step <= fallback_count; ++step) {
            row.fallbacks.push_back(domain_id::from_index((at + step) % domains));
        }
        out->domains.push_back(std::move(row));
    }
    for (std::size_t at = 0; at < domains * hosts; ++at) {
        config::entry_host row;
        row.name = "entry-host-" + std::to_string(at);
        row.domain = domain_id::from_index(at / hosts);
        out->hosts.push_back(std::move(row));
    }
    for (std::size_t at = 0; at < services; ++at) {
        config::service row;
        row.name = "service-" + std::to_string(at);
        row.service_time = std::chrono::milliseconds{5};
        out->services.push_back(std::move(row));
    }
    for (std::size_t at = 0; at < domains * services; ++at) {
        config::target row;
        row.name = "target-" + std::to_string(at);
        row.service = service_id::from_index(at % services);
        row.domain = domain_id::from_index(at / services);
        row.slots = 6;
        out->targets.push_back(std::move(row));
    }
    return out;
}

struct host_components {
    ownership owners;
    grant_holder holder;
    grant_ledger ledger;
};

struct message_in_transit {
    host_id from;
    send_message sent;
};

std::size_t name_bytes(const config::model& in, service_id service)
{
    return in.at(service).name.size() + 4;
}

std::size_t message_bytes(const config::model& in, const heartbeat& message)
{
    std::size_t bytes = overhead_bytes + 8 * number_bytes;
    for (const auto* list : {&message.owned, &message.unable, &message.claimed, &message.denied}) {
        for (const service_id each : *list) {
            bytes += name_bytes(in, each);
        }
    }
    return bytes;
}
std::size_t message_bytes(const config::model& in, const grant_request& message)
{
    std::size_t bytes = overhead_bytes + 2 * number_bytes + in.at(message.source).name.size();
    for (const service_demand& each : message.services) {
        bytes += name_bytes(in, each.service) + each.levels.size() * 2 * number_bytes;
    }
    return bytes;
}
std::size_t message_bytes(const config::model& in, const capacity_grant& message)
{
    std::size_t bytes = overhead_bytes + 3 * number_bytes;
    bytes += in.at(message.source).name.size() + in.at(message.granter).name.size();
    for (const granted_capacity& each : message.capacities) {
        bytes += name_bytes(in, each.service) + 4 * number_bytes;
    }
    return bytes;
}
template <class Other>
std::size_t message_bytes(const config::model& in, const Other& message)
{
    (void)in;
    (void)message;
    return overhead_bytes;
}

// Simulates the ownership and grants of all hosts of a site. Every host ticks each 50 ms; messages
// and the answers to them are delivered within the same step.
class simulated_hosts {
public:
    explicit simulated_hosts(const std::shared_ptr<const config::model>& given) : model{given}
    {
        for (std::size_t at = 0; at < given->hosts.size(); ++at) {
            const auto id = host_id::from_index(at);
            const incarnation incarnation_number{1};
            host_components& host = this->hosts.emplace_back(host_components{
                ownership{incarnation_number}, grant_holder{incarnation_number}, {}});
            host.owners.apply(given, revision{1}, id, this->now);
            host.holder.apply(given, given->at(id).domain, nullptr, this->now);
            host.ledger.apply(given, given->at(id).domain, nullptr, this->now);
        }
    }

    void run(std::chrono::seconds span)
    {
        const time_point end = this->now + span;
        while (this->now < end) {
            this->now += std::chrono::milliseconds{50};
            for (std::size_t at = 0; at < this->hosts.size(); ++at) {
                this->tick(host_id::from_index(at));
            }
            this->deliver();
        }
    }

    std::uint64_t heartbeats{};
    std::uint64_t grant_messages{};
    std::uint64_t bytes{};

private:
    void tick(host_id id)
    {
        host_components& host = this->hosts.at(id.index());
        this->post(id, host.owners.tick(this->now));
        std::vector<service_demand> demands;
        for (std::size_t at = 0; at < this->model->services.size(); ++at) {
            const auto service = service_id::from_index(at);
            if (host.owners.owns(service, this->now)) {
                demands.push_back({service, {{priority_level{2}, request_rate{100.0}, 1}}});
            }
        }
        this->post(id, host.holder.tick(demands, this->now));
    }

    void post(host_id from, const std::vector<send_message>& messages)
    {
        for (const send_message& each : messages) {
            const bool is_heartbeat = std::holds_alternative<heartbeat>(each.message);
            this->heartbeats += is_heartbeat ? 1 : 0;
            this->grant_messages += is_heartbeat ? 0 : 1;
            this->bytes += std::visit(
                [this](const auto& message) { return message_bytes(*this->model, message); },
                each.message);
            this->in_transit.push_back({from, each});
        }
    }

    void deliver()
    {
        while (!this->in_transit.empty()) {
            const message_in_transit next = std::move(this->in_transit.front());
            this->in_transit.pop_front();
            host_components& receiver = this->hosts.at(next.sent.to.index());
            if (const auto* beat = std::get_if<heartbeat>(&next.sent.message)) {
                this->post(next.sent.to, receiver.owners.receive(next.from, *beat, this->now));
            }
            else if (const auto* request = std::get_if<grant_request>(&next.sent.message)) {
                this->post(next.sent.to,
                           {{next.from, this->answer(receiver, next.from, *request)}});
            }
            else if (const auto* grant = std::get_if<capacity_grant>(&next.sent.message)) {
                receiver.holder.receive(next.from, *grant, this->now);
            }
        }
    }

    capacity_grant answer(host_components& granter, host_id from, const grant_request& request)
    {
        std::vector<grant_context> contexts;
        for (const service_demand& each : request.services) {
            grant_context context;
            context.owned_until = granter.owners.owned_until(each.service, this->now);
            context.owner = granter.owners.owner(each.service, this->now);
            context.usable_slots = 6;
            context.service_time = std::chrono::milliseconds{5};
            contexts.push_back(context);
        }
        return granter.ledger.answer(from, request, contexts, this->now);
    }

    std::shared_ptr<const config::model> model;
    time_point now{std::chrono::seconds{10}};
    std::vector<host_components> hosts;
    std::deque<message_in_transit> in_transit;
};

void grants_traffic(benchmark::State& state)
{
    constexpr std::chrono::seconds settling{5};
    constexpr std::chrono::seconds measured{10};
    const auto model = make_model(static_cast<std::size_t>(state.range(0)),
                                  static_cast<std::size_t>(state.range(1)),
                                  static_cast<std::size_t>(state.range(2)));
    for (auto _ : state) {
        simulated_hosts simulation{model};
        simulation.run(settling);
        simulation.heartbeats = simulation.grant_messages = simulation.bytes = 0;
        simulation.run(measured);
        const double host_seconds =
            static_cast<double>(model->hosts.size()) * static_cast<double>(measured.count());
        state.counters["heartbeats_per_host_s"] =
            static_cast<double>(simulation.heartbeats) / host_seconds;
        state.counters["grant_messages_per_host_s"] =
            static_cast<double>(simulation.grant_messages) / host_seconds;
        state.counters["bytes_out_per_host_s"] =
            static_cast<double>(simulation.bytes) / host_seconds;
    }
}

// Measures the time until another host owns the service, over many random moments at which the
// owner crashes or hands the service over.
void takeover(benchmark::State& state)
{
    constexpr std::uint64_t runs = 200;
    const bool crashes = state.range(0) == 1;
    const auto model = testing::small_site();
    for (auto _ : state) {
        double sum_ms = 0.0;
        double max_ms = 0.0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            testing::ownership_group hosts{model, {"a1", "a2"}, seed};
            hosts.run(std::chrono::seconds{3} + std::chrono::milliseconds{hosts.below(500)});
            const host_id former_owner = hosts.owners(testing::web).front();
            if (crashes) {
                hosts.kill(former_owner);
            }
            else {
                hosts.at(former_owner).set_leaving(true);
                hosts.hand_over(former_owner);
            }
            const time_point started = hosts.now();
            while (hosts.owners(testing::web).empty() ||
                   hosts.owners(testing::web).front() == former_owner) {
                hosts.step();
            }
            const double elapsed_ms =
                std::chrono::duration<double, std::milli>(hosts.now() - started).count();
            sum_ms += elapsed_ms;
            max_ms = std::max(max_ms, elapsed_ms);
        }
        state.counters["mean_ms"] = sum_ms / runs;
        state.counters["longest_ms"] = max_ms;
    }
}

// Measures domain "a" under load, given as a share of what its slots can serve, beside a neighbour
// domain of the same region at 30%, with and without grants.
void neighbour(benchmark::State& state)
{
    constexpr double full_rate = 1200.0;
    constexpr double neighbour_load = 0.3;
    constexpr std::chrono::seconds warm_up{5};
    constexpr std::chrono::seconds measured{20};
    const double load = static_cast<double>(state.range(0)) / 100.0;
    const bool granted = state.range(1) == 1;
    const auto model =
        granted ? testing::small_site()
                : testing::small_site({{R"("fallbacks":["b","c"])", R"("fallbacks":[])"}});
    for (auto _ : state) {
        testing::site_group site{model, 1};
        const host_id owner = owner_candidates(*model, testing::domain_a, testing::web).front();
        site.offer(model->at(owner).name, testing::web, testing::public_class,
                   request_rate{full_rate * load});
        site.run(warm_up);
        site.offer("b1", testing::web, testing::public_class,
                   request_rate{full_rate * neighbour_load});
        site.latencies.clear();
        const std::uint64_t refused_before = site.refused;
        site.run(measured);
        auto& latencies = site.latencies;
        std::sort(latencies.begin(), latencies.end());
        duration sum{};
        for (const duration each : latencies) {
            sum += each;
        }
        const auto milliseconds = [](duration value) {
            return std::chrono::duration<double, std::milli>(value).count();
        };
        state.counters["mean_ms"] = milliseconds(sum) / static_cast<double>(latencies.size());
        state.counters["p99_ms"] = milliseconds(latencies.at(latencies.size() * 99 / 100));
        state.counters["refused_share"] =
            static_cast<double>(site.refused - refused_before) /
            static_cast<double>(site.refused - refused_before + latencies.size());
    }
}

BENCHMARK(takeover)->ArgNames({"dies"})->Arg(1)->Arg(0)->Iterations(1)->Unit(
    benchmark::kMillisecond);
BENCHMARK(neighbour)
    ->ArgNames({"load", "granted"})
    ->ArgsProduct({{60, 70, 80, 90, 100, 120}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(grants_traffic)
    ->ArgNames({"domains", "hosts", "services"})
    ->Args({6, 2, 4})
    ->Args({12, 2, 4})
    ->Args({24, 2, 4})
    ->Args({44, 2, 4})
    ->Args({44, 2, 12})
    ->Args({44, 2, 48})
    ->Args({12, 9, 48})
    ->Args({12, 41, 48})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
