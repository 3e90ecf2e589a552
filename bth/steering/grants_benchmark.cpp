// Messages of ownership and grants per host and second as domains, hosts and services grow, with
// every pair of domain and fallback in use for every service. Counted under virtual time; the bytes
// are worked out from the content of each message and the lengths of the names in it. Then the time
// without an owner after a death and a handover, and the latency with and without a granted
// neighbour.
#include "bth/steering/grant_book.h"
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
// TCP and IP headers, and the frame with its envelope.
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

struct host_parts {
    ownership owners;
    grant_book book;
    grant_ledger ledger;
};

struct envelope {
    host_id from;
    send_message what;
};

std::size_t name_of(const config::model& in, service_id service)
{
    return in.at(service).name.size() + 4;
}

std::size_t size_of(const config::model& in, const heartbeat& message)
{
    std::size_t bytes = overhead_bytes + 8 * number_bytes;
    for (const auto* list : {&message.owned, &message.unable, &message.claimed, &message.denied}) {
        for (const service_id each : *list) {
            bytes += name_of(in, each);
        }
    }
    return bytes;
}
std::size_t size_of(const config::model& in, const grant_request& message)
{
    std::size_t bytes = overhead_bytes + 2 * number_bytes + in.at(message.source).name.size();
    for (const service_demand& each : message.services) {
        bytes += name_of(in, each.service) + each.levels.size() * 2 * number_bytes;
    }
    return bytes;
}
std::size_t size_of(const config::model& in, const capacity_grant& message)
{
    std::size_t bytes = overhead_bytes + 3 * number_bytes;
    bytes += in.at(message.source).name.size() + in.at(message.granter).name.size();
    for (const granted_capacity& each : message.capacities) {
        bytes += name_of(in, each.service) + 4 * number_bytes;
    }
    return bytes;
}
template <class Other>
std::size_t size_of(const config::model& in, const Other& message)
{
    (void)in;
    (void)message;
    return overhead_bytes;
}

// All hosts of a site; each message arrives a millisecond later.
class group {
public:
    explicit group(const std::shared_ptr<const config::model>& given) : model{given}
    {
        for (std::size_t at = 0; at < given->hosts.size(); ++at) {
            const auto id = host_id::from_index(at);
            const incarnation life{1};
            host_parts& row =
                this->hosts.emplace_back(host_parts{ownership{life}, grant_book{life}, {}});
            row.owners.apply(given, revision{1}, id, this->now);
            row.book.apply(given, given->at(id).domain, nullptr, this->now);
            row.ledger.apply(given, given->at(id).domain, nullptr, this->now);
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

    std::uint64_t beats{};
    std::uint64_t grants{};
    std::uint64_t bytes{};

private:
    void tick(host_id id)
    {
        host_parts& row = this->hosts.at(id.index());
        this->post(id, row.owners.tick(this->now));
        std::vector<service_demand> demands;
        for (std::size_t at = 0; at < this->model->services.size(); ++at) {
            const auto service = service_id::from_index(at);
            if (row.owners.owns(service, this->now)) {
                demands.push_back({service, {{priority_level{2}, request_rate{100.0}, 1}}});
            }
        }
        this->post(id, row.book.tick(demands, this->now));
    }

    void post(host_id from, const std::vector<send_message>& messages)
    {
        for (const send_message& each : messages) {
            const bool is_beat = std::holds_alternative<heartbeat>(each.message);
            this->beats += is_beat ? 1 : 0;
            this->grants += is_beat ? 0 : 1;
            this->bytes += std::visit(
                [this](const auto& what) { return size_of(*this->model, what); }, each.message);
            this->wire.push_back({from, each});
        }
    }

    void deliver()
    {
        while (!this->wire.empty()) {
            const envelope next = std::move(this->wire.front());
            this->wire.pop_front();
            host_parts& row = this->hosts.at(next.what.to.index());
            if (const auto* beat = std::get_if<heartbeat>(&next.what.message)) {
                this->post(next.what.to, row.owners.receive(next.from, *beat, this->now));
            }
            else if (const auto* request = std::get_if<grant_request>(&next.what.message)) {
                this->post(next.what.to, {{next.from, this->answer(row, next.from, *request)}});
            }
            else if (const auto* grant = std::get_if<capacity_grant>(&next.what.message)) {
                row.book.receive(next.from, *grant, this->now);
            }
        }
    }

    capacity_grant answer(host_parts& row, host_id from, const grant_request& request)
    {
        std::vector<granting_state> about;
        for (const service_demand& each : request.services) {
            granting_state state;
            state.owned_until = row.owners.owned_until(each.service, this->now);
            state.owner = row.owners.owner(each.service, this->now);
            state.usable_slots = 6;
            state.service_time = std::chrono::milliseconds{5};
            about.push_back(state);
        }
        return row.ledger.answer(from, request, about, this->now);
    }

    std::shared_ptr<const config::model> model;
    time_point now{std::chrono::seconds{10}};
    std::vector<host_parts> hosts;
    std::deque<envelope> wire;
};

void grants_traffic(benchmark::State& state)
{
    constexpr std::chrono::seconds settling{5};
    constexpr std::chrono::seconds measured{10};
    const auto model = make_model(static_cast<std::size_t>(state.range(0)),
                                  static_cast<std::size_t>(state.range(1)),
                                  static_cast<std::size_t>(state.range(2)));
    for (auto _ : state) {
        group all{model};
        all.run(settling);
        all.beats = all.grants = all.bytes = 0;
        all.run(measured);
        const double host_seconds =
            static_cast<double>(model->hosts.size()) * static_cast<double>(measured.count());
        state.counters["heartbeats_per_host_s"] = static_cast<double>(all.beats) / host_seconds;
        state.counters["grant_messages_per_host_s"] =
            static_cast<double>(all.grants) / host_seconds;
        state.counters["bytes_out_per_host_s"] = static_cast<double>(all.bytes) / host_seconds;
    }
}

// The time until another host owns what the owner had, over many moments of its end.
void takeover(benchmark::State& state)
{
    constexpr std::uint64_t runs = 200;
    const bool dies = state.range(0) == 1;
    const auto model = testing::small_site();
    for (auto _ : state) {
        double sum = 0.0;
        double longest = 0.0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            testing::ownership_group all{model, {"a1", "a2"}, seed};
            all.run(std::chrono::seconds{3} + std::chrono::milliseconds{all.below(500)});
            const host_id first = all.owners(testing::web).front();
            if (dies) {
                all.kill(first);
            }
            else {
                all.at(first).set_leaving(true);
                all.hand_over(first);
            }
            const time_point began = all.now();
            while (all.owners(testing::web).empty() || all.owners(testing::web).front() == first) {
                all.step();
            }
            const double took =
                std::chrono::duration<double, std::milli>(all.now() - began).count();
            sum += took;
            longest = std::max(longest, took);
        }
        state.counters["mean_ms"] = sum / runs;
        state.counters["longest_ms"] = longest;
    }
}

// Domain "a" at a share of its slots, its neighbour in the region at 30%, with and without grants.
void neighbour(benchmark::State& state)
{
    constexpr double full_rate = 1200.0;
    constexpr double idle_share = 0.3;
    constexpr std::chrono::seconds warming{5};
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
        site.run(warming);
        site.offer("b1", testing::web, testing::public_class, request_rate{full_rate * idle_share});
        site.latencies.clear();
        const std::uint64_t refused = site.refused;
        site.run(measured);
        auto& all = site.latencies;
        std::sort(all.begin(), all.end());
        duration sum{};
        for (const duration each : all) {
            sum += each;
        }
        const auto milliseconds = [](duration value) {
            return std::chrono::duration<double, std::milli>(value).count();
        };
        state.counters["mean_ms"] = milliseconds(sum) / static_cast<double>(all.size());
        state.counters["p99_ms"] = milliseconds(all.at(all.size() * 99 / 100));
        state.counters["refused_share"] = static_cast<double>(site.refused - refused) /
                                          static_cast<double>(site.refused - refused + all.size());
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
