// One entry host as a process. Connects the steering core with the server for callers, the link to
// other entry hosts, the connections to targets, and the HTTP pages for operators.
//
//   auto process = std::make_shared<entry_process>(context, settings);
//   if (auto started = process->start(); !started) { return fail_start(name, started.error()); }
//   context.run();
#pragma once

#include "bth/entry/caller_server.h"
#include "bth/entry/configuration_source.h"
#include "bth/entry/driver.h"
#include "bth/entry/metrics.h"
#include "bth/entry/serve.h"
#include "bth/entry/settings.h"
#include "bth/entry/stream_multiplexer.h"
#include "bth/entry/target_pool.h"
#include "bth/shell/peer_link.h"
#include "bth/shell/simple_http.h"

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

namespace bth::entry {

class entry_process : public std::enable_shared_from_this<entry_process> {
public:
    entry_process(boost::asio::io_context& context, entry_settings settings);

    // Reads the configuration and starts to listen. The error is one sentence that names what
    // failed.
    tl::expected<void, std::string> start();
    // Starts a graceful shutdown. The context stops once no request is in flight and callers no
    // longer use cached look-ups that name this host.
    void stop();

private:
    tl::expected<void, std::string> start_with_file();
    tl::expected<void, std::string> start_with_control();
    tl::expected<std::shared_ptr<const config::model>, std::string> read_model() const;
    tl::expected<void, std::string> listen(const endpoint& http, const endpoint& peer);
    tl::expected<void, std::string> listen_admin();
    void apply(std::shared_ptr<const config::model> model, revision number);
    void send_steering(const config::model& model, const std::string& host,
                       const steering::peer_message& message);
    // Returns false if the payload is malformed.
    bool receive_steering(const std::string& from, wire::byte_view payload);
    // Serves a request that another entry host forwarded here.
    void serve_peer(std::shared_ptr<stream_channel> channel, received_request request);
    boost::asio::awaitable<void> serve_forwarded(std::shared_ptr<stream_channel> channel,
                                                 received_request request);
    boost::asio::awaitable<void> run_ticks();
    shell::http_response answer_admin(const shell::http_request& request);
    std::string status_json() const;
    // Ends the process if a graceful shutdown is complete.
    void stop_if_drained();

    boost::asio::io_context& context;
    entry_settings settings;
    entry_metrics metrics;
    std::shared_ptr<shell::peer_link> link;
    std::shared_ptr<stream_multiplexer> streams;
    steering_driver driver;
    target_connection_pool targets;
    once::idempotency_store idempotency_records;
    entry_services services;
    std::shared_ptr<caller_server> callers;
    std::shared_ptr<shell::http_server> admin;
    // Null if the configuration comes from a text file.
    std::unique_ptr<configuration_source> distributed_configuration;
    boost::asio::steady_timer tick_timer;
    // Whether the last tick found nothing in flight while stopping.
    bool was_drained{};
    log4cplus::Logger log{log4cplus::Logger::getInstance("entry")};
};

} // namespace bth::entry
