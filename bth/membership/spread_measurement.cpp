// bth-measure-spread: what liveness and distribution cost, by hosts, edits and client blocks, under
// virtual time. The same arguments print the same figures; scripts/measure-spread adds instruction
// counts.
#include "bth/membership/testing/fake_world.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include <malloc.h>

using namespace bth;
using namespace bth::membership;
using namespace bth::membership::testing;
using namespace std::chrono_literals;

namespace {

struct size_step {
    int hosts;
    int domains;
    int regions;
};

constexpr size_step sizes[] = {{9, 6, 3}, {45, 6, 3}, {180, 12, 6}, {450, 22, 11}, {1800, 44, 16}};
constexpr double rates[] = {0.0, 0.11, 1.1};
constexpr int durable_period = 10;

std::string host_name(int index)
{
    const std::string digits = std::to_string(10'000 + index);
    return "entry-east-mids-1-" + digits.substr(1);
}

fake_world make_world(const size_step& size, std::size_t blocks)
{
    fake_world world{{.seed = 1, .client_blocks = blocks}};
    world.add_control("control-a");
    for (int index = 0; index < size.hosts; ++index) {
        const int domain = index % size.domains;
        world.add_host(host_name(index), "east-mids-" + std::to_string(domain),
                       domain % size.regions, index % durable_period == 0);
    }
    world.begin();
    world.run_for(30s);
    return world;
}

struct traffic_summary {
    double mean_bytes{};
    double most_bytes{};
    double mean_messages{};
    double control_bytes{};
};

// Bytes count both ways; messages are those sent.
traffic_summary summarize(const fake_world& world, double seconds)
{
    traffic_summary sum;
    const std::vector<std::string> names = world.hosts();
    for (const std::string& name : names) {
        const traffic& each = world.traffic_of(name);
        const auto bytes = static_cast<double>(each.bytes_in + each.bytes_out) / seconds;
        sum.mean_bytes += bytes / static_cast<double>(names.size());
        sum.most_bytes = std::max(sum.most_bytes, bytes);
        sum.mean_messages +=
            static_cast<double>(each.messages_out) / seconds / static_cast<double>(names.size());
    }
    const traffic& control = world.traffic_of("control-a");
    sum.control_bytes = static_cast<double>(control.bytes_in + control.bytes_out) / seconds;
    return sum;
}

double milliseconds_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values.empty() ? 0 : values[index];
}

// Edits at an even rate for a time; when each was in force everywhere, in ms after acceptance.
std::vector<double> edit_at(fake_world& world, double rate, duration time)
{
    std::vector<revision> made;
    const time_point end = world.time() + time;
    if (rate > 0) {
        const auto pause =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{1 / rate});
        for (time_point next = world.time(); next + 1s < end; next += pause) {
            world.run_until(next);
            made.push_back(world.accept_edit());
        }
    }
    world.run_until(end);
    std::vector<double> delays;
    for (const revision at : made) {
        if (const auto done = world.in_force_everywhere(at)) {
            delays.push_back(milliseconds_of(*done - world.accepted_at(at)));
        }
    }
    std::printf(" edits %zu, unfinished %zu |", made.size(), made.size() - delays.size());
    return delays;
}

void measure_traffic(int most_hosts)
{
    constexpr double seconds = 100;
    std::puts("\n## Bytes and messages a host, and time to in force everywhere\n");
    std::puts(
        "| hosts | domains | edits/s | edits | B/s mean | B/s most | sent/s mean | control B/s "
        "| in force everywhere p50 ms | p99 ms |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|");
    for (const size_step& size : sizes) {
        if (size.hosts > most_hosts) {
            break;
        }
        fake_world world = make_world(size, 0);
        for (const double rate : rates) {
            world.reset_traffic();
            std::printf("| %d | %d | %.2f |", size.hosts, size.domains, rate);
            const std::vector<double> delays = edit_at(world, rate, 100s);
            const traffic_summary sum = summarize(world, seconds);
            std::printf(" %.0f | %.0f | %.2f | %.0f | %.1f | %.1f |\n", sum.mean_bytes,
                        sum.most_bytes, sum.mean_messages, sum.control_bytes,
                        percentile(delays, 0.5), percentile(delays, 0.99));
        }
        if (!world.violations().empty()) {
            std::printf("violation: %s\n", world.violations().front().c_str());
        }
    }
}

// The first relay of a failure domain has just died.
void measure_dead_relay()
{
    std::puts("\n## In force everywhere when a relay dies just before the edit\n");
    std::puts("| hosts | domains | tries | p50 ms | most ms |");
    std::puts("|---|---|---|---|---|");
    for (const size_step& size : {sizes[0], sizes[1], sizes[2]}) {
        std::vector<double> delays;
        constexpr int tries = 12;
        fake_world world = make_world(size, 0);
        for (int attempt = 0; attempt < tries; ++attempt) {
            const std::string relay =
                world.publisher_of("control-a").domains(world.time()).at(0).relay;
            world.stop(relay);
            const revision at = world.accept_edit();
            world.run_for(10s);
            if (const auto done = world.in_force_everywhere(at)) {
                delays.push_back(milliseconds_of(*done - world.accepted_at(at)));
            }
            world.start(relay);
            world.run_for(10s);
        }
        std::printf("| %d | %d | %d, unfinished %zu | %.1f | %.1f |\n", size.hosts, size.domains,
                    tries, tries - delays.size(), percentile(delays, 0.5), percentile(delays, 1));
    }
}

void measure_catch_up_of(int missed, bool keep_disk, std::size_t blocks)
{
    fake_world world = make_world(sizes[0], blocks);
    const std::string host = host_name(0);
    world.stop(host);
    for (int edit = 0; edit < missed; ++edit) {
        world.accept_edit();
        world.run_for(20ms);
    }
    world.run_for(2s);
    world.reset_traffic();
    world.start(host, keep_disk);
    const time_point start = world.time();
    while (!world.converged() && world.time() < start + 60s) {
        world.run_for(1ms);
    }
    const traffic& counted = world.traffic_of(host);
    const std::uint64_t bytes = counted.bytes_in + counted.bytes_out;
    std::printf("| %d | %s | %zu | %.0f | %s |\n", missed, keep_disk ? "kept" : "lost", blocks,
                milliseconds_of(world.time() - start), std::to_string(bytes).c_str());
}

void measure_catch_up(std::size_t most_blocks)
{
    std::puts("\n## A restarted host catches up\n");
    std::puts("| missed edits | disk | client blocks | in force ms | bytes both ways |");
    std::puts("|---|---|---|---|---|");
    for (const int missed : {1, 50, 500}) {
        measure_catch_up_of(missed, true, 0);
    }
    for (const std::size_t blocks : {0U, 10'000U, 100'000U, 570'000U}) {
        if (blocks <= most_blocks) {
            measure_catch_up_of(1, false, blocks);
        }
    }
}

void measure_memory()
{
    std::puts("\n## Memory of one table\n");
    std::puts("| client blocks | heap bytes of the table | bytes a block |");
    std::puts("|---|---|---|");
    for (const std::size_t blocks : {1000U, 10'000U, 100'000U, 570'000U}) {
        config::delta change;
        change.domains = {"east-mids-1"};
        for (std::size_t index = 0; index < blocks; ++index) {
            constexpr std::uint8_t length = 24;
            change.blocks_set.push_back(
                {ipv4_address{static_cast<std::uint32_t>(index << 8U)}, 0, length});
        }
        const auto before = static_cast<double>(::mallinfo2().uordblks + ::mallinfo2().hblkhd);
        config::text_table table;
        table.merge(change);
        table.shrink_to_fit();
        const auto after = static_cast<double>(::mallinfo2().uordblks + ::mallinfo2().hblkhd);
        std::printf("| %zu | %.0f | %.2f |\n", blocks, after - before,
                    (after - before) / static_cast<double>(blocks));
    }
}

// Work for an instruction count: a start, some idle seconds and some edits, one a second.
void run_for_count(int hosts, int domains, std::size_t blocks, int idle_seconds, int edits)
{
    fake_world world = make_world({hosts, domains, 3}, blocks);
    world.run_for(std::chrono::seconds{idle_seconds});
    for (int edit = 0; edit < edits; ++edit) {
        world.accept_edit();
        world.run_for(1s);
    }
}

int run(const std::vector<std::string>& words)
{
    if (words.size() == 6 && words[0] == "--count") {
        run_for_count(std::stoi(words[1]), std::stoi(words[2]), std::stoul(words[3]),
                      std::stoi(words[4]), std::stoi(words[5]));
        return EXIT_SUCCESS;
    }
    const bool quick = words.size() == 1 && words[0] == "--quick";
    if (!words.empty() && !quick) {
        std::cerr
            << "usage: bth-measure-spread [--quick | --count HOSTS DOMAINS BLOCKS IDLE EDITS]\n";
        return EXIT_FAILURE;
    }
    constexpr int quick_hosts = 180;
    constexpr std::size_t quick_blocks = 10'000;
    measure_traffic(quick ? quick_hosts : sizes[4].hosts);
    measure_dead_relay();
    measure_catch_up(quick ? quick_blocks : 570'000U);
    measure_memory();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return run({argv + 1, argv + argc});
}
