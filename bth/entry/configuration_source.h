// Where an entry host gets its configuration if control distributes it: the agent that takes it in,
// and what the pages for operators show of that.
//
//   configuration_source source{context, link, settings, on_in_force};
//   if (auto started = source.start(); !started) { return started; }
//   std::string text = source.render_metrics();
#pragma once

#include "bth/distribution/agent_driver.h"
#include "bth/entry/settings.h"
#include "bth/shell/peer_link.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <tl/expected.hpp>

namespace bth::entry {

class configuration_source {
public:
    configuration_source(boost::asio::io_context& context,
                         const std::shared_ptr<shell::peer_link>& link,
                         const entry_settings& settings,
                         distribution::agent_driver::in_force_handler on_in_force);

    // Reads the data folder and begins, or one sentence that says what failed. The link listens
    // after this.
    tl::expected<void, std::string> start();
    void stop() { this->driver->stop(); }

    // The hosts to connect with before a configuration is in force.
    std::vector<shell::peer_address> first_peers() const;

    // An object for the status page: newest revision, age of the last word of control in ms (null
    // if there was none), whether this host is cut off from control, its relay, and the hosts of
    // its failure domain that don't count as alive.
    std::string status_json() const;
    // The text format of Prometheus.
    std::string render_metrics();

private:
    prometheus::Counter& counter(const char* name, const char* help);
    prometheus::Gauge& gauge(const char* name, const char* help);
    prometheus::Counter& refused(const char* reason);

    std::string data_folder;
    std::vector<seed_host> seeds;
    std::shared_ptr<distribution::agent_driver> driver;
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Gauge* newest;
    prometheus::Gauge* control_age;
    prometheus::Gauge* cut_off;
    prometheus::Gauge* alive_hosts;
    prometheus::Counter* messages_sent;
    prometheus::Counter* messages_received;
    prometheus::Counter* bytes_sent;
    prometheus::Counter* bytes_received;
    prometheus::Counter* edits_applied;
    prometheus::Counter* snapshots;
    prometheus::Family<prometheus::Counter>* refusals;
    prometheus::Counter* refused_old;
    prometheus::Counter* refused_gap;
    prometheus::Counter* refused_damaged;
};

} // namespace bth::entry
