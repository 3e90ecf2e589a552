#include "bth/membership/testing/fake_world.h"

#include <algorithm>
#include <utility>

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace bth::membership::testing {

namespace {

constexpr std::size_t header_bytes = 40;
constexpr std::size_t segment_bytes = 1460;
// Length prefix and envelope of a frame.
constexpr std::size_t frame_bytes = 56;

constexpr std::uint64_t most_row_edits = 50;

std::uint64_t spread_evenly(std::uint64_t most, std::mt19937_64& random)
{
    boost::random::uniform_int_distribution<std::uint64_t> value{0, most};
    return value(random);
}

} // namespace

std::uint64_t wire_bytes(std::size_t payload)
{
    const std::size_t bytes = payload + frame_bytes;
    const std::size_t segments = (bytes + segment_bytes - 1) / segment_bytes;
    return bytes + segments * header_bytes;
}

fake_world::fake_world(world_settings settings) : settings{settings}, random{settings.seed} {}

void fake_world::add_control(const std::string& name)
{
    node& added = this->nodes[name];
    added.name = name;
    added.failure_domain = "control";
    added.life = incarnation{this->next_life++};
    added.control = std::make_unique<publisher>(publisher_settings{});
    if (this->active_control.empty()) {
        this->set_active_control(name);
    }
    this->schedule_tick(added, added.life, this->now + this->settings.tick_interval);
}

void fake_world::add_host(const std::string& name, const std::string& failure_domain, int region,
                          bool durable, bool starts)
{
    node& added = this->nodes[name];
    added.name = name;
    added.failure_domain = failure_domain;
    added.region = region;
    added.durable = durable;
    if (starts) {
        this->start(name);
    }
}

void fake_world::begin()
{
    config::delta change;
    for (const auto& [name, each] : this->nodes) {
        if (!each.control) {
            const std::string value = R"({"failure_domain":")" + each.failure_domain +
                                      R"(","http":"127.11.1.1:8080","name":")" + name +
                                      R"(","peer":"127.11.1.1:9080"})";
            change.set.push_back({{config::section::hosts, name}, value});
        }
    }
    change.domains = {"east-1", "west-1"};
    for (std::size_t index = 0; index < this->settings.client_blocks; ++index) {
        constexpr std::uint8_t length = 24;
        const auto address = static_cast<std::uint32_t>(index << 8U);
        change.blocks_set.push_back({ipv4_address{address}, 0, length});
    }
    this->table.merge(change);
    this->accept_edit();
}

revision fake_world::accept_edit()
{
    ++this->edits_made;
    const std::string row = "service-" + std::to_string(this->edits_made % most_row_edits);
    const std::string padding(260, 'x');
    config::delta change;
    if (this->edits_made % 7 == 0) {
        change.removed.push_back({config::section::services, row});
    }
    else {
        change.set.push_back({{config::section::services, row},
                              R"({"name":")" + row + R"(","edit":)" +
                                  std::to_string(this->edits_made) + R"(,"padding":")" + padding +
                                  "\"}"});
    }
    this->table.merge(change);
    this->table.set_revision(revision{this->table.at().value() + 1});
    this->history_of[this->table.at()] = {this->table.digest(), this->now, 0, {}};
    for (auto& [name, each] : this->nodes) {
        if (each.control) {
            // A control host that doesn't lead learns of the commit a little later.
            const duration wait =
                name == this->active_control ? duration{} : this->settings.delay_between_regions;
            this->at(this->now + wait, [this, &each = each, copy = this->table] {
                this->perform(each, each.control->publish(this->now, copy));
            });
        }
    }
    return this->table.at();
}

void fake_world::set_active_control(const std::string& name)
{
    this->active_control = name;
    for (auto& [other, each] : this->nodes) {
        if (each.control) {
            each.control->set_active(this->now, other == name);
        }
    }
}

void fake_world::run_until(time_point end)
{
    while (!this->events.empty() && this->events.top().at <= end) {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.run();
    }
    this->now = end;
}

void fake_world::stop(const std::string& host)
{
    node& stopped = this->nodes.at(host);
    stopped.core.reset();
    stopped.life = incarnation{};
}

void fake_world::start(const std::string& host, bool keep_disk)
{
    node& started = this->nodes.at(host);
    if (!keep_disk) {
        started.disk.reset();
        started.highest = revision{};
    }
    started.life = incarnation{this->next_life++};
    started.in_force = revision{};
    agent_settings core;
    core.self = {started.name, started.life};
    core.failure_domain = started.failure_domain;
    core.durable = started.durable;
    core.seed = spread_evenly(UINT64_MAX, this->random);
    for (const auto& [name, each] : this->nodes) {
        constexpr std::size_t most_seeds = 3;
        if (!each.control && name != host && each.failure_domain == started.failure_domain &&
            core.seeds.size() < most_seeds) {
            core.seeds.push_back(name);
        }
    }
    started.core = std::make_unique<agent>(std::move(core), started.disk);
    const auto phase = static_cast<std::uint64_t>(this->settings.tick_interval.count());
    const duration wait{static_cast<duration::rep>(spread_evenly(phase, this->random))};
    this->schedule_tick(started, started.life, this->now + wait);
}

void fake_world::cut(const std::string& from, const std::string& to)
{
    this->cuts.insert({from, to});
}

void fake_world::cut_domain(const std::string& failure_domain)
{
    this->cut_domains.insert(failure_domain);
}

void fake_world::heal()
{
    this->cuts.clear();
    this->cut_domains.clear();
    this->faults = {};
}

bool fake_world::is_up(const std::string& host) const
{
    return this->nodes.at(host).core != nullptr;
}

const agent& fake_world::agent_of(const std::string& host) const
{
    return *this->nodes.at(host).core;
}

publisher& fake_world::publisher_of(const std::string& control)
{
    return *this->nodes.at(control).control;
}

std::vector<std::string> fake_world::hosts() const
{
    std::vector<std::string> names;
    for (const auto& [name, each] : this->nodes) {
        if (!each.control) {
            names.push_back(name);
        }
    }
    return names;
}

bool fake_world::converged() const
{
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& each) {
        const node& one = each.second;
        return !one.core || one.in_force == this->table.at();
    });
}

std::optional<time_point> fake_world::in_force_everywhere(revision at) const
{
    const accepted_revision& row = this->history_of.at(at);
    const auto running =
        std::count_if(this->nodes.begin(), this->nodes.end(),
                      [](const auto& each) { return each.second.core != nullptr; });
    if (row.in_force < static_cast<std::size_t>(running)) {
        return std::nullopt;
    }
    return row.last_in_force;
}

time_point fake_world::accepted_at(revision at) const
{
    return this->history_of.at(at).at;
}

const traffic& fake_world::traffic_of(const std::string& node) const
{
    return this->nodes.at(node).counted;
}

void fake_world::reset_traffic()
{
    for (auto& [name, each] : this->nodes) {
        each.counted = {};
    }
}

void fake_world::at(time_point when, std::function<void()> run)
{
    this->events.push({when, this->next_order++, std::move(run)});
}

void fake_world::schedule_tick(node& of, incarnation life, time_point when)
{
    this->at(when, [this, &of, life, when] {
        if (of.life != life) {
            return;
        }
        this->perform(of, of.core ? of.core->tick(this->now) : of.control->tick(this->now));
        this->schedule_tick(of, life, when + this->settings.tick_interval);
    });
}

void fake_world::perform(node& by, const actions& todo)
{
    for (const action& each : todo) {
        std::visit([&](const auto& what) { this->perform_one(by, what); }, each);
    }
}

void fake_world::perform_one(node& by, const send_message& what)
{
    const auto place = this->nodes.find(what.to);
    if (place == this->nodes.end()) {
        return;
    }
    node& to = place->second;
    std::string payload = encode(what.what);
    ++by.counted.messages_out;
    by.counted.bytes_out += wire_bytes(payload.size());
    by.counted.bytes_in += header_bytes; // The acknowledgement.
    if (this->is_cut(by, to) || this->chance(this->faults.loss)) {
        return;
    }
    const bool carries_edits = std::holds_alternative<delta_push>(what.what) ||
                               std::holds_alternative<pull_answer>(what.what);
    if (carries_edits && this->chance(this->faults.damage)) {
        payload = this->damaged(std::move(payload));
    }
    const auto shared = std::make_shared<const std::string>(std::move(payload));
    const int copies = this->chance(this->faults.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        this->deliver(by, by.life, to, shared, this->now + this->delay(by, to));
    }
}

void fake_world::deliver(const node& from, incarnation life, node& to,
                         const std::shared_ptr<const std::string>& payload, time_point when)
{
    this->at(when, [this, sender = peer{from.name, life}, &to, payload] {
        const auto what = decode_message(*payload);
        if (!what || (!to.core && !to.control)) {
            return;
        }
        ++to.counted.messages_in;
        to.counted.bytes_in += wire_bytes(payload->size());
        to.counted.bytes_out += header_bytes;
        this->perform(to, to.core ? to.core->receive(this->now, sender, *what)
                                  : to.control->receive(this->now, sender, *what));
    });
}

void fake_world::perform_one(node& by, const persist_order& what)
{
    config::text_table stored = what.whole || !by.disk ? config::text_table{} : *by.disk;
    if (what.whole) {
        stored = by.core->table();
    }
    for (const shared_bytes& bytes : what.edits) {
        if (!stored.apply(config::decode_delta(*bytes).value())) {
            this->violate(by, "an edit to be stored doesn't follow what is stored");
        }
    }
    this->at(this->now + this->settings.persist_time,
             [this, &by, life = by.life, upto = what.upto, stored = std::move(stored)] {
                 if (by.life == life) {
                     by.disk = stored;
                     this->perform(by, by.core->persisted(this->now, upto));
                 }
             });
}

void fake_world::perform_one(node& by, const take_into_force& what)
{
    const auto place = this->history_of.find(what.mark.at);
    if (place == this->history_of.end() || place->second.digest != what.mark.digest ||
        by.core->table().digest() != what.mark.digest) {
        this->violate(by, "took something into force that was never accepted");
        return;
    }
    if (what.mark.at <= by.in_force) {
        this->violate(by, "the revision in force fell or stayed");
    }
    if (by.durable && what.mark.at < by.highest) {
        this->violate(by, "the revision in force fell across a restart");
    }
    if (by.durable && (!by.disk || by.disk->at() < what.mark.at)) {
        this->violate(by, "a revision is in force that isn't stored");
    }
    // Counts each revision that this step passed over too.
    for (auto row = this->history_of.upper_bound(std::max(by.in_force, by.highest));
         row != this->history_of.end() && row->first <= what.mark.at; ++row) {
        ++row->second.in_force;
        row->second.last_in_force = this->now;
    }
    by.in_force = what.mark.at;
    by.highest = std::max(by.highest, what.mark.at);
    this->perform(by, by.core->in_use(this->now));
}

std::string fake_world::damaged(std::string payload)
{
    const std::size_t place = spread_evenly(payload.size() - 1, this->random);
    payload[place] = static_cast<char>(payload[place] ^ 0x10);
    return payload;
}

bool fake_world::chance(double part)
{
    return part > 0 && boost::random::uniform_01<double>{}(this->random) < part;
}

bool fake_world::is_cut(const node& from, const node& to) const
{
    const bool domains_differ = from.failure_domain != to.failure_domain;
    return this->cuts.contains({from.name, to.name}) ||
           (domains_differ && (this->cut_domains.contains(from.failure_domain) ||
                               this->cut_domains.contains(to.failure_domain)));
}

duration fake_world::delay(const node& from, const node& to)
{
    const duration base = from.region == to.region ? this->settings.delay_within_region
                                                   : this->settings.delay_between_regions;
    if (this->faults.jitter == duration{}) {
        return base;
    }
    const auto most = static_cast<std::uint64_t>(this->faults.jitter.count());
    return base + duration{static_cast<duration::rep>(spread_evenly(most, this->random))};
}

void fake_world::violate(const node& by, const std::string& what)
{
    this->broken.push_back(by.name + " at " +
                           std::to_string(this->now.time_since_epoch().count() / 1'000'000) +
                           " ms: " + what);
}

} // namespace bth::membership::testing
