// Measures the cost of one request to the core (node::arrive and node::finished) and of a tick, by
// the number of targets in the whole deployment. For instruction counts run the benchmark with
// --benchmark_filter=arrive_and_finish/530 under valgrind --tool=callgrind
// --toggle-collect='*serve_requests*'.
#include "bth/steering/node.h"

#include "bth/config/text.h"

#include <chrono>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

namespace {

using namespace bth;
using namespace bth::steering;

constexpr int services = 4;
constexpr int domains = 44;
constexpr int slots = 3;

std::string named_rows(int count, const auto& row)
{
    std::string rows;
    for (int index = 0; index < count; ++index) {
        rows.append(index == 0 ? "" : ",").append(row(index));
    }
    return rows;
}

// Returns a deployment of 44 failure domains over which `targets_per_service` targets of each
// service are spread evenly.
std::shared_ptr<const config::model> wide_site(int targets_per_service)
{
    const auto region = [](int) {
        return std::string{R"({"name":"r","cap":{"requests_per_second":1e8,"in_flight":1000000}})"};
    };
    const auto domain = [](int index) {
        return R"({"name":"d)" + std::to_string(index) +
               R"(","region":"r","cap":{"requests_per_second":1e6,"in_flight":10000},"fallbacks":[]})";
    };
    const auto host = [](int index) {
        const std::string number = std::to_string(index);
        return R"({"name":"h)" + number + R"(","failure_domain":"d)" + number +
               R"(","http":"127.1.1.1:80","peer":"127.1.1.1:90"})";
    };
    const auto service = [](int index) {
        return R"({"name":"s)" + std::to_string(index) +
               R"(","priority":{"public":0},"request_bytes":400,"answer_bytes":4000,"service_time_us":5000})";
    };
    const auto target = [&](int index) {
        return R"({"name":"t)" + std::to_string(index) + R"(","service":"s)" +
               std::to_string(index % services) + R"(","failure_domain":"d)" +
               std::to_string(index / services % domains) + R"(","http":"127.2.0.1:80","slots":)" +
               std::to_string(slots) + R"(,"connections":330})";
    };
    const std::string text =
        R"({"regions":[)" + named_rows(1, region) + R"(],"failure_domains":[)" +
        named_rows(domains, domain) + R"(],"links":[],"hosts":[)" + named_rows(domains, host) +
        R"(],"caller_classes":[{"name":"public"}],"services":[)" + named_rows(services, service) +
        R"(],"targets":[)" + named_rows(services * targets_per_service, target) +
        R"(],"client_blocks":[],"drains":[]})";
    auto read = config::read_text("wide_site", text);
    return read ? std::make_shared<const config::model>(std::move(*read)) : nullptr;
}

arrival request_of(std::uint64_t id, time_point now)
{
    arrival request;
    request.id = request_id{id};
    request.service = service_id::from_index(id % services);
    request.repeatable = true;
    request.deadline = now + std::chrono::seconds{2};
    return request;
}

// Serves `count` requests with ids from `first`, one after the other, each in five milliseconds.
[[gnu::noinline]] void serve_requests(node& core, std::uint64_t first, std::uint64_t count,
                                      time_point& now)
{
    for (std::uint64_t id = first; id < first + count; ++id) {
        benchmark::DoNotOptimize(core.arrive(request_of(id, now), now));
        now += std::chrono::milliseconds{5};
        attempt_result result;
        result.id = request_id{id};
        benchmark::DoNotOptimize(core.finished(result, now));
    }
}

void arrive_and_finish(benchmark::State& state)
{
    constexpr std::uint64_t batch = 1000;
    const auto model = wide_site(static_cast<int>(state.range(0)));
    node core{{.host_name = "h0", .incarnation_number = incarnation{1}, .seed = 7}};
    time_point now{std::chrono::seconds{10}};
    core.apply(model, revision{1}, {now, {}});
    std::uint64_t next = 1;
    for (auto step : state) {
        serve_requests(core, next, batch, now);
        next += batch;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(next));
}

// Measures one tick, which refreshes every table of the node.
void tick(benchmark::State& state)
{
    node core{{.host_name = "h0", .incarnation_number = incarnation{1}, .seed = 7}};
    time_point now{std::chrono::seconds{10}};
    core.apply(wide_site(static_cast<int>(state.range(0))), revision{1}, {now, {}});
    for (auto step : state) {
        now += tick_interval;
        benchmark::DoNotOptimize(core.tick({now, {}}));
    }
}

BENCHMARK(arrive_and_finish)->Arg(44)->Arg(132)->Arg(530);
BENCHMARK(tick)->Arg(44)->Arg(132)->Arg(530);

} // namespace
