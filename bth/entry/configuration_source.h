// Receives the configuration that control distributes, and reports the state of distribution in
// metrics and on the status page.
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

    // Reads the stored configuration from the data folder and starts to receive revisions. Must be
    // called before the link listens. The error is one sentence that names what failed.
    tl::expected<void, std::string> start();
    void stop() { this->driver->stop(); }

    // Returns the hosts to connect to before a configuration is in force: those of the stored
    // configuration, and the seeds.
    std::vector<shell::peer_address> initial_peers() const;

    // Returns a JSON object for the status page: the newest revision held, the time in ms since
    // control was last seen, directly or through other hosts (null if it never was), whether this
    // host is cut off from control, the relay of its failure domain, and the domain's hosts that
    // aren't marked alive.
    std::string status_json() const;
    // Updates the metrics and returns them in the text format of Prometheus.
    std::string render_metrics();

private:
    prometheus::Counter& counter(const char* name, const char* help);
    prometheus::Gauge& gauge(const char* name, const char* help);
    prometheus::Counter& refusal_counter(const char* reason);

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
