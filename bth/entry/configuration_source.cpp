#include "bth/entry/configuration_source.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <json/value.h>
#include <json/writer.h>
#include <prometheus/text_serializer.h>

namespace bth::entry {

namespace {

membership::agent_settings agent_settings_of(const entry_settings& settings,
                                             incarnation incarnation_number)
{
    membership::agent_settings out;
    out.self = {settings.host, incarnation_number};
    out.failure_domain = settings.failure_domain;
    out.seed = incarnation_number.value();
    for (const seed_host& each : settings.seeds) {
        out.seeds.push_back(each.host);
    }
    return out;
}

// Sets a Prometheus counter, which can only be incremented, to a total that is counted elsewhere.
void raise_to(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

configuration_source::configuration_source(boost::asio::io_context& context,
                                           const std::shared_ptr<shell::peer_link>& link,
                                           const entry_settings& settings,
                                           distribution::agent_driver::in_force_handler on_in_force)
    : data_folder{settings.data_folder}, seeds{settings.seeds},
      driver{std::make_shared<distribution::agent_driver>(
          context, link, agent_settings_of(settings, link->life()), std::move(on_in_force))},
      registry{std::make_shared<prometheus::Registry>()},
      newest{&this->gauge("bth_configuration_newest_revision",
                          "Newest revision held; it is in force once it is stored.")},
      control_age{&this->gauge("bth_control_age_seconds",
                               "Seconds since control was last heard, directly or through others; "
                               "-1 if it never was.")},
      cut_off{&this->gauge("bth_control_cut_off",
                           "1 while control is out of reach and newer revisions may exist.")},
      alive_hosts{&this->gauge("bth_alive_hosts", "Hosts of the failure domain that are alive.")},
      messages_sent{&this->counter("bth_distribution_messages_sent_total",
                                   "Messages of membership and distribution sent.")},
      messages_received{&this->counter("bth_distribution_messages_received_total",
                                       "Messages of membership and distribution received.")},
      bytes_sent{&this->counter("bth_distribution_sent_bytes_total",
                                "Payload bytes of membership and distribution sent.")},
      bytes_received{&this->counter("bth_distribution_received_bytes_total",
                                    "Payload bytes of membership and distribution received.")},
      edits_applied{&this->counter("bth_configuration_edits_total", "Edits applied.")},
      snapshots{&this->counter("bth_configuration_snapshots_total", "Snapshots taken.")},
      refusals{&prometheus::BuildCounter()
                    .Name("bth_configuration_refused_total")
                    .Help("Edits and snapshots that were refused, by reason.")
                    .Register(*this->registry)},
      refused_old{&this->refusal_counter("old")}, refused_gap{&this->refusal_counter("gap")},
      refused_damaged{&this->refusal_counter("damaged")}
{}

prometheus::Counter& configuration_source::counter(const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*this->registry).Add({});
}

prometheus::Gauge& configuration_source::gauge(const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry).Add({});
}

prometheus::Counter& configuration_source::refusal_counter(const char* reason)
{
    return this->refusals->Add({{"reason", reason}});
}

tl::expected<void, std::string> configuration_source::start()
{
    return this->driver->start(this->data_folder);
}

std::vector<shell::peer_address> configuration_source::initial_peers() const
{
    std::vector<shell::peer_address> peers = this->driver->stored_peers();
    for (const seed_host& seed : this->seeds) {
        const bool known = std::any_of(peers.begin(), peers.end(),
                                       [&](const auto& each) { return each.name == seed.host; });
        if (!known) {
            peers.push_back({seed.host, seed.peer});
        }
    }
    return peers;
}

std::string configuration_source::status_json() const
{
    const membership::agent_status status = this->driver->status();
    Json::Value out{Json::objectValue};
    out["newest_revision"] = Json::UInt64{status.newest.value()};
    out["control_age_ms"] = Json::Value{};
    if (status.control_age) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(*status.control_age);
        out["control_age_ms"] = Json::Int64{age.count()};
    }
    out["cut_off"] = status.cut_off;
    out["relay"] = status.relay;
    out["not_alive"] = Json::Value{Json::arrayValue};
    for (const membership::member& member : this->driver->members()) {
        if (member.state != membership::liveness::alive) {
            out["not_alive"].append(member.host);
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, out);
}

std::string configuration_source::render_metrics()
{
    constexpr double no_contact_age = -1;
    const membership::agent_status status = this->driver->status();
    this->newest->Set(static_cast<double>(status.newest.value()));
    this->control_age->Set(status.control_age
                               ? std::chrono::duration<double>{*status.control_age}.count()
                               : no_contact_age);
    this->cut_off->Set(status.cut_off ? 1 : 0);
    const auto& members = this->driver->members();
    this->alive_hosts->Set(
        static_cast<double>(std::count_if(members.begin(), members.end(), [](const auto& member) {
            return member.state == membership::liveness::alive;
        })));
    const distribution::message_counters& traffic = this->driver->messages();
    raise_to(*this->messages_sent, traffic.sent);
    raise_to(*this->messages_received, traffic.received);
    raise_to(*this->bytes_sent, traffic.bytes_sent);
    raise_to(*this->bytes_received, traffic.bytes_received);
    const membership::replica_counters& replica = this->driver->counters();
    raise_to(*this->edits_applied, replica.applied);
    raise_to(*this->snapshots, replica.snapshots);
    raise_to(*this->refused_old, replica.old);
    raise_to(*this->refused_gap, replica.gaps);
    raise_to(*this->refused_damaged, replica.damaged);
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

} // namespace bth::entry
