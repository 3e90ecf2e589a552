// Measures the cost of one look-up: with two hosts in each of six domains, a size similar to
// today's nine hosts, and with 41 hosts in each domain, the size that the deployment is planned to
// reach.
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

constexpr int lookups_per_run = 20'000;
constexpr std::uint16_t domain_count = 6;

std::shared_ptr<const config::model> make_model(std::int64_t hosts_per_domain)
{
    auto result = std::make_shared<config::model>();
    result->classes = {{"public", ""}};
    config::service service;
    service.name = "s";
    service.priority = {priority_level{0}};
    result->services = {service};
    for (std::uint16_t index = 0; index < domain_count; ++index) {
        config::failure_domain domain;
        domain.name = "d" + std::to_string(index);
        for (std::uint16_t step = 1; step <= 3; ++step) {
            domain.fallbacks.emplace_back(
                static_cast<std::uint16_t>((index + step) % domain_count));
        }
        result->domains.push_back(domain);
        for (std::int64_t host = 0; host < hosts_per_domain; ++host) {
            result->hosts.push_back(
                {domain.name + "-" + std::to_string(host), domain_id{index}, {}, {}});
        }
    }
    return result;
}

void lookup(benchmark::State& state)
{
    const auto model = make_model(state.range(0));
    const bool home_unavailable = state.range(1) != 0;
    lookup_policy policy;
    policy.configure(model);
    for (std::size_t host = 0; host < model->hosts.size(); ++host) {
        const bool is_unlisted = home_unavailable && model->hosts.at(host).domain == domain_id{0};
        policy.set_host(host_id::from_index(host),
                        {is_unlisted ? host_listing::unlisted : host_listing::listed, 1.0});
    }
    for (std::uint16_t domain = 0; domain < domain_count; ++domain) {
        policy.set_domain_service(domain_id{domain}, service_id{0}, {{}, request_rate{1e6}, 0.3});
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
    ->Iterations(lookups_per_run);

} // namespace
