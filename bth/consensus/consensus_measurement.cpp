// bth-measure-consensus: what agreement costs under virtual time, with the delays of both
// deployments: 0.5 ms within a region and 20 ms between regions. Equal builds print equal figures.
#include "bth/consensus/testing/fake_group.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace {

using namespace std::chrono_literals;
using bth::duration;
using bth::consensus::testing::fake_group;

constexpr duration sync_time = 1ms;
constexpr double edits_per_second = 1.1;
constexpr std::size_t edit_bytes = 400;
constexpr duration settle_time = 5s;
constexpr duration poll = 1ms;

struct deployment {
    const char* name;
    std::vector<std::size_t> regions;
};

const std::vector<deployment>& deployments()
{
    static const std::vector<deployment> all{{"3 hosts in 3 regions", {0, 1, 2}},
                                             {"5 hosts in 3 regions", {0, 0, 1, 1, 2}}};
    return all;
}

void set_up(fake_group& group, const deployment& where)
{
    group.regions = where.regions;
    group.sync_delay = sync_time;
    group.log_bytes = std::size_t{16} << 20U;
    group.run(settle_time);
}

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void print_percentiles(const char* what, std::vector<duration> all)
{
    std::sort(all.begin(), all.end());
    const auto at = [&](std::size_t share) {
        return milliseconds(all.at(std::min(all.size() - 1, all.size() * share / 100)));
    };
    std::printf("  %-34s n %4zu  p50 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", what, all.size(),
                at(50), at(99), milliseconds(all.back()));
}

std::string padded(const std::string& id)
{
    return id + "-" + std::string(edit_bytes - id.size(), 'x');
}

// Submits edits at random times with the mean rate; returns the time from each to its answer.
std::vector<duration> submit_edits(fake_group& group, int count, const std::string& prefix)
{
    std::vector<duration> taken;
    boost::random::exponential_distribution<double> gap{edits_per_second};
    for (int i = 0; i < count; ++i) {
        const std::chrono::duration<double> wait{gap(group.generator)};
        group.run(std::chrono::duration_cast<duration>(wait));
        const auto start = group.now();
        group.submit(group.leader().value(), padded(prefix + std::to_string(i)),
                     group.history().size(), [&, start](const auto& result) {
                         if (result.applied) {
                             taken.push_back(group.now() - start);
                         }
                     });
    }
    group.run(1s);
    return taken;
}

void measure_commit(const deployment& where)
{
    fake_group group{1, where.regions.size()};
    set_up(group, where);
    print_percentiles("submit to committed", submit_edits(group, 1000, "edit"));
}

void measure_failover(const deployment& where)
{
    std::vector<duration> without;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        fake_group group{seed, where.regions.size()};
        set_up(group, where);
        const boost::random::uniform_int_distribution<int> some{0, 300};
        group.run(some(group.generator) * 1ms);
        const auto died = group.now();
        group.power_off(group.leader().value());
        while (!group.leader()) {
            group.run(poll);
        }
        without.push_back(group.now() - died);
    }
    print_percentiles("without leader after its death", without);
}

void measure_recovery(const deployment& where, bool by_snapshot)
{
    std::vector<duration> taken;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_group group{seed, where.regions.size()};
        set_up(group, where);
        const auto late = (group.leader().value() + 1) % group.size();
        group.power_off(late);
        for (int i = 0; i < 500; ++i) {
            group.submit(group.leader().value(), padded("edit" + std::to_string(i)),
                         static_cast<std::size_t>(i), [](const auto&) {});
            group.run(50ms);
        }
        group.run(1s);
        if (by_snapshot) {
            group.lose_disk(late);
        }
        const auto start = group.now();
        group.restart(late);
        while (!group.status(late).caught_up || group.at(late).state().accepted.size() < 500) {
            group.run(poll);
        }
        taken.push_back(group.now() - start);
    }
    print_percentiles(by_snapshot ? "new disk, from nothing to 500 edits" : "500 edits behind",
                      taken);
}

void measure_traffic(const deployment& where)
{
    constexpr double minute = 60;
    fake_group group{1, where.regions.size()};
    set_up(group, where);
    const auto hosts = static_cast<double>(group.size());
    const auto show = [&](const char* what, double seconds) {
        std::printf(
            "  %-34s a host: %6.1f messages/s, %7.0f B/s (frames and headers not counted)\n", what,
            static_cast<double>(group.messages_sent) / seconds / hosts,
            static_cast<double>(group.bytes_sent) / seconds / hosts);
        group.messages_sent = 0;
        group.bytes_sent = 0;
    };
    group.messages_sent = 0;
    group.bytes_sent = 0;
    group.run(60s);
    show("idle, mean sent", minute);
    const auto start = group.now();
    submit_edits(group, 300, "busy");
    show("1.1 edits/s of 400 B, mean sent",
         std::chrono::duration<double>(group.now() - start).count());
}

void measure_burst(const deployment& where)
{
    fake_group group{1, where.regions.size()};
    set_up(group, where);
    std::vector<duration> taken;
    for (int i = 0; i < 1000; ++i) {
        const auto start = group.now();
        group.submit(group.leader().value(), padded("burst" + std::to_string(i)),
                     static_cast<std::size_t>(i), [&, start](const auto& result) {
                         if (result.applied) {
                             taken.push_back(group.now() - start);
                         }
                     });
        group.run(10ms);
    }
    group.run(2s);
    print_percentiles("burst of 100 edits/s", taken);
}

} // namespace

int main()
{
    for (const auto& where : deployments()) {
        std::printf("%s, %.1f ms a sync\n", where.name, milliseconds(sync_time));
        measure_commit(where);
        measure_burst(where);
        measure_failover(where);
        measure_recovery(where, false);
        measure_recovery(where, true);
        measure_traffic(where);
    }
    return 0;
}
