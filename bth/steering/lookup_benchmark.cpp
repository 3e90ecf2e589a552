// The cost of one look-up: nine hosts as today, and a domain of 41 hosts as at the size aimed for.
//
//   valgrind --tool=callgrind --toggle-collect='bth::steering::lookup_policy::answer*'
//       build/bth/steering/steering_benchmark --benchmark_filter=lookup
#include "bth/steering/lookup_policy.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <string>

namespace {

using namespace bth;
using namespace bth::steering;

constexpr int look_ups = 20'000;
constexpr std::uint16_t domain_count = 6;

std::shared_ptr<const config::model> model_with(std::int64_t hosts_per_domain)
{
    auto made = std::make_shared<config::model>();
    made->classes = {{"public", ""}};
    config::service service;
    service.name = "s";
    service.priority = {priority_level{0}};
    made->services = {service};
    for (std::uint16_t at = 0; at < domain_count; ++at) {
        config::failure_domain domain;
        domain.name = "d" + std::to_string(at);
        for (std::uint16_t step = 1; step <= 3; ++step) {
            domain.fallbacks.emplace_back(static_cast<std::uint16_t>((at + step) % domain_count));
        }
        made->domains.push_back(domain);
        for (std::int64_t host = 0; host < hosts_per_domain; ++host) {
            made->hosts.push_back(
                {domain.name + "-" + std::to_string(host), domain_id{at}, {}, {}});
        }
    }
    return made;
}

void lookup(benchmark::State& state)
{
    const auto model = model_with(state.range(0));
    const bool home_lost = state.range(1) != 0;
    lookup_policy policy;
    policy.configure(model);
    for (std::size_t host = 0; host < model->hosts.size(); ++host) {
        const bool lost = home_lost && model->hosts.at(host).domain == domain_id{0};
        policy.set_host(host_id::from_index(host),
                        {lost ? host_listing::unlisted : host_listing::listed, 1.0});
    }
    for (std::uint16_t domain = 0; domain < domain_count; ++domain) {
        policy.set_place(domain_id{domain}, service_id{0}, {{}, request_rate{1e6}, 0.3});
    }
    time_point now{std::chrono::hours{1}};
    for (auto step : state) {
        (void)step;
        now += std::chrono::milliseconds{2};
        benchmark::DoNotOptimize(policy.answer({domain_id{0}, service_id{0}, class_id{0}}, now));
    }
}
BENCHMARK(lookup)
    ->ArgNames({"hosts_per_domain", "home_lost"})
    ->Args({2, 0})
    ->Args({2, 1})
    ->Args({41, 0})
    ->Args({41, 1})
    ->Iterations(look_ups);

} // namespace
