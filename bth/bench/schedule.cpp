#include "bth/bench/fake_target.h"
#include "bth/bench/scenario.h"

#include <random>
#include <string>

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace bth::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration schedule_length = seconds{20};
constexpr duration earliest_fault = seconds{6};
constexpr duration latest_fault = seconds{16};
constexpr int most_faults = 8;

class schedule_maker {
public:
    schedule_maker(const config::model& given, std::uint64_t seed) : model{given}, random{seed} {}

    run_plan make(std::uint64_t seed)
    {
        run_plan plan;
        plan.name = "seed_" + std::to_string(seed);
        plan.seed = seed;
        plan.load = this->real(0.1, 0.5);
        plan.length = schedule_length;
        plan.warm_up = seconds{2};
        plan.resends = this->below(4) == 0 ? 2 : 0;
        const std::uint32_t faults = 1 + this->below(most_faults);
        for (std::uint32_t each = 0; each < faults; ++each) {
            this->add_fault(plan);
        }
        return plan;
    }

private:
    std::uint32_t below(std::size_t count)
    {
        boost::random::uniform_int_distribution<std::uint32_t> among{
            0, static_cast<std::uint32_t>(count - 1)};
        return among(this->random);
    }
    double real(double least, double most)
    {
        boost::random::uniform_real_distribution<double> among{least, most};
        return among(this->random);
    }
    duration moment(duration from, duration to)
    {
        const auto span = std::chrono::duration_cast<milliseconds>(to - from).count();
        return from + milliseconds{this->below(static_cast<std::size_t>(span))};
    }

    // A change that begins now and is undone some seconds later.
    void add_pair(run_plan& plan, const change& first, const change& second)
    {
        const duration begin = this->moment(earliest_fault, latest_fault);
        const duration end = begin + this->moment(milliseconds{200}, seconds{5});
        plan.changes.push_back(first);
        plan.changes.back().at = begin;
        plan.changes.push_back(second);
        plan.changes.back().at = end;
    }

    void add_fault(run_plan& plan)
    {
        using kind = change_kind;
        const std::uint32_t domain = this->below(this->model.domains.size());
        const std::uint32_t host = this->below(this->model.hosts.size());
        const std::uint32_t target = this->below(this->model.targets.size());
        const std::uint32_t region = this->below(this->model.regions.size());
        const auto other = static_cast<double>((region + 1) % this->model.regions.size());
        const duration zero{};
        switch (this->below(12)) {
        case 0:
            return this->add_pair(plan, {zero, kind::domain_load, domain, this->real(0.8, 4.0)},
                                  {zero, kind::domain_load, domain, plan.load});
        case 1:
            return this->add_pair(plan, {zero, kind::domain_down, domain, 0},
                                  {zero, kind::domain_up, domain, 0});
        case 2:
            return this->add_pair(plan, {zero, kind::host_kill, host, 0},
                                  {zero, kind::host_start, host, 0});
        case 3:
        case 4:
            return this->add_pair(plan, {zero, kind::host_freeze, host, 0},
                                  {zero, kind::host_thaw, host, 0});
        case 5:
            return this->add_pair(plan, {zero, kind::regions_cut, region, other},
                                  {zero, kind::regions_heal, region, other});
        case 6:
            return this->add_pair(plan, {zero, kind::target_kill, target, 0},
                                  {zero, kind::target_start, target, 0});
        case 7: {
            const auto mode = static_cast<double>(1 + this->below(3));
            return this->add_pair(plan, {zero, kind::target_reports, target, mode},
                                  {zero, kind::target_reports, target, 0});
        }
        case 8:
            return this->add_pair(plan, {zero, kind::target_slowdown, target, this->real(2, 20)},
                                  {zero, kind::target_slowdown, target, 1});
        case 9:
            return this->add_pair(plan, {zero, kind::target_breaks, target, this->real(0.1, 1)},
                                  {zero, kind::target_breaks, target, 0});
        case 10:
            plan.changes.push_back(
                {this->moment(earliest_fault, latest_fault), kind::target_leaves, target, 0});
            return;
        default:
            plan.changes.push_back({this->moment(earliest_fault, latest_fault), kind::drain_domain,
                                    domain, static_cast<double>(host)});
            return;
        }
    }

    const config::model& model;
    std::mt19937_64 random;
};

} // namespace

run_plan random_plan(const config::model& model, std::uint64_t seed)
{
    return schedule_maker{model, seed}.make(seed);
}

} // namespace bth::bench
