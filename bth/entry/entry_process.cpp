#include "bth/entry/entry_process.h"

#include "bth/config/text.h"
#include "bth/entry/peer_caller.h"
#include "bth/entry/polling.h"
#include "bth/shell/files.h"
#include "bth/shell/net.h"
#include "bth/wire/steering_codec.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bth::entry {

namespace {

namespace asio = boost::asio;

constexpr duration default_retry_after = std::chrono::seconds{1};

steering::node_settings node_settings_of(const entry_settings& settings,
                                         incarnation incarnation_number)
{
    return {settings.host, incarnation_number, incarnation_number.value()};
}

} // namespace

entry_process::entry_process(asio::io_context& context, entry_settings given_settings)
    : context{context}, settings{std::move(given_settings)},
      link{std::make_shared<shell::peer_link>(
          context.get_executor(),
          shell::peer_link_settings{this->settings.host, shell::fresh_incarnation()})},
      streams{std::make_shared<stream_multiplexer>(context.get_executor(), this->link)},
      driver{node_settings_of(this->settings, this->link->life()), this->metrics,
             [this](const config::model& model, const std::string& host,
                    const steering::peer_message& message) {
                 this->send_steering(model, host, message);
             }},
      targets{context.get_executor()}, idempotency_records{{.host_name = this->settings.host,
                                                            .incarnation_number =
                                                                this->link->life()}},
      services{context.get_executor(), this->driver,  this->targets,
               *this->streams,         this->metrics, this->idempotency_records},
      callers{std::make_shared<caller_server>(this->services, this->settings.limits)}, tick_timer{
                                                                                           context}
{}

tl::expected<void, std::string> entry_process::start()
{
    this->streams->start([weak = weak_from_this()](std::shared_ptr<stream_channel> channel,
                                                   received_request request) {
        if (const auto process = weak.lock()) {
            process->serve_peer(std::move(channel), std::move(request));
        }
    });
    this->link->on_frame(wire::frame_kind::steering,
                         [this](const shell::peer_identity& from, wire::byte_view payload) {
                             return this->receive_steering(from.name, payload);
                         });
    this->link->on_change(
        [this](const shell::peer_identity& peer, bool connected, std::string_view) {
            if (!connected) {
                this->driver.peer_lost(peer.name);
            }
        });
    auto started =
        this->settings.text_file.empty() ? this->start_with_control() : this->start_with_file();
    if (!started) {
        return started;
    }
    std::make_shared<report_poller>(this->context.get_executor(), this->driver, this->settings)
        ->start();
    asio::co_spawn(
        this->context, [self = shared_from_this()] { return self->run_ticks(); }, asio::detached);
    return {};
}

tl::expected<void, std::string> entry_process::start_with_file()
{
    auto model = this->read_model();
    if (!model) {
        return tl::unexpected{model.error()};
    }
    const auto self = config::find_host(**model, this->settings.host);
    if (!self) {
        return tl::unexpected{"no host \"" + this->settings.host + "\" in the configuration file " +
                              this->settings.text_file};
    }
    const config::entry_host& host = (*model)->at(*self);
    if (auto listening = this->listen(host.http, host.peer); !listening) {
        return listening;
    }
    this->apply(std::move(*model), revision{1});
    return {};
}

// Until the first configuration revision is in force, requests are refused with the reason
// not_configured.
tl::expected<void, std::string> entry_process::start_with_control()
{
    this->distributed_configuration = std::make_unique<configuration_source>(
        this->context, this->link, this->settings,
        [this](std::shared_ptr<const config::model> model, revision number) {
            this->apply(std::move(model), number);
        });
    if (auto started = this->distributed_configuration->start(); !started) {
        return started;
    }
    if (auto listening = this->listen(this->settings.http, this->settings.peer); !listening) {
        return listening;
    }
    this->link->set_peers(this->distributed_configuration->initial_peers());
    return {};
}

tl::expected<std::shared_ptr<const config::model>, std::string> entry_process::read_model() const
{
    const auto text = shell::read_file(this->settings.text_file);
    if (!text) {
        return tl::unexpected{text.error()};
    }
    auto model = config::read_text(this->settings.text_file, *text);
    if (!model) {
        return tl::unexpected{to_string(model.error())};
    }
    return std::make_shared<const config::model>(std::move(*model));
}

tl::expected<void, std::string> entry_process::listen(const endpoint& http, const endpoint& peer)
{
    auto acceptor = shell::listen_on(this->context.get_executor(), http);
    if (!acceptor) {
        return tl::unexpected{acceptor.error()};
    }
    if (auto peer_listening = this->link->listen(peer); !peer_listening) {
        return peer_listening;
    }
    if (auto admin_listening = this->listen_admin(); !admin_listening) {
        return admin_listening;
    }
    this->callers->start(std::move(*acceptor));
    LOG4CPLUS_INFO(this->log, "Listening for callers at " << to_string(http) << ".");
    return {};
}

tl::expected<void, std::string> entry_process::listen_admin()
{
    if (!this->settings.admin) {
        return {};
    }
    auto acceptor = shell::listen_on(this->context.get_executor(), *this->settings.admin);
    if (!acceptor) {
        return tl::unexpected{acceptor.error()};
    }
    this->admin = std::make_shared<shell::http_server>(
        std::move(*acceptor),
        [this](shell::http_request request) -> asio::awaitable<shell::http_response> {
            co_return this->answer_admin(request);
        });
    this->admin->start();
    return {};
}

void entry_process::apply(std::shared_ptr<const config::model> model, revision number)
{
    std::vector<shell::peer_address> peers;
    for (const config::entry_host& each : model->hosts) {
        peers.push_back({each.name, each.peer});
    }
    this->driver.apply(
        std::make_shared<const configuration_index>(std::move(model), number, this->settings.host));
    this->link->set_peers(peers);
    LOG4CPLUS_INFO(this->log, "Configuration revision " << number.value() << " is in force.");
}

void entry_process::send_steering(const config::model& model, const std::string& host,
                                  const steering::peer_message& message)
{
    const wire::bytes payload = wire::encode_steering(model, message);
    if (this->link->send(host, wire::frame_kind::steering, payload)) {
        this->metrics.count_steering_sent(payload.size());
    }
}

bool entry_process::receive_steering(const std::string& from, wire::byte_view payload)
{
    const auto configuration = this->driver.configuration();
    if (configuration == nullptr) {
        return true;
    }
    const auto decoded = wire::decode_steering(configuration->model(), payload);
    if (decoded.message) {
        this->metrics.count_steering_received();
        this->driver.receive(from, *decoded.message);
    }
    return decoded.well_formed;
}

void entry_process::serve_peer(std::shared_ptr<stream_channel> channel, received_request request)
{
    asio::co_spawn(
        this->context,
        [self = shared_from_this(), channel = std::move(channel),
         request = std::move(request)]() mutable {
            return self->serve_forwarded(std::move(channel), std::move(request));
        },
        asio::detached);
}

asio::awaitable<void> entry_process::serve_forwarded(std::shared_ptr<stream_channel> channel,
                                                     received_request request)
{
    this->metrics.count_forwarded_request();
    const auto configuration = this->driver.configuration();
    const auto empty_model = std::make_shared<const config::model>();
    const config::model& model = configuration == nullptr ? *empty_model : configuration->model();
    const auto from = config::find_host(model, channel->peer_name());
    const auto service = config::find_service(model, request.service);
    const auto domain = config::find_domain(model, request.home);
    if (!from || !service || !domain) {
        this->metrics.count_refusal(refusal_reason::not_configured);
        channel->send_refusal(
            {run_state::no, refusal_reason::not_configured,
             std::chrono::duration_cast<std::chrono::microseconds>(default_retry_after)});
        co_return;
    }
    steering::arrival arrival;
    arrival.id = this->driver.next_request_id();
    arrival.service = *service;
    arrival.caller_class =
        config::find_class(model, request.caller_class).value_or(model.public_class);
    arrival.home = *domain;
    arrival.forwarded_by = *from;
    arrival.repeatable = request.repeatable;
    arrival.hops = request.hops;
    arrival.retry = request.retry;
    arrival.deadline = shell::monotonic_now() + request.timeout;
    const request_attributes attributes{request.service, request.caller_class, request.home,
                                        request.repeatable};
    const auto commands = std::make_shared<request_commands>(this->context.get_executor());
    channel->on_broken = [commands] {
        commands->stop(stop_cause::caller_disconnected);
    };
    peer_caller caller{channel, std::move(request)};
    co_await serve(this->services, caller, commands, arrival, attributes);
    channel->on_broken = nullptr;
}

asio::awaitable<void> entry_process::run_ticks()
{
    while (true) {
        this->tick_timer.expires_after(steering::tick_interval);
        boost::system::error_code ignored;
        co_await this->tick_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        this->driver.tick();
        this->targets.close_idle_connections(shell::monotonic_now());
        this->stop_if_drained();
    }
}

shell::http_response entry_process::answer_admin(const shell::http_request& request)
{
    if (request.target() == "/metrics") {
        const entry_metrics::gauge_values gauge_values{
            this->driver.in_flight(), this->callers->connections(),
            this->targets.open_connection_count(), this->streams->open_stream_count(),
            this->driver.is_stopping()};
        std::string text = this->metrics.render(gauge_values, shell::monotonic_now());
        if (this->distributed_configuration) {
            text += this->distributed_configuration->render_metrics();
        }
        return shell::make_response(request, http::status::ok, "text/plain; version=0.0.4",
                                    std::move(text));
    }
    if (request.target() == "/status") {
        return shell::make_response(request, http::status::ok, "application/json",
                                    this->status_json());
    }
    return shell::make_response(request, http::status::not_found, "text/plain",
                                "pages: /metrics, /status\n");
}

std::string entry_process::status_json() const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->metrics.revision_age(shell::monotonic_now()));
    return R"({"host":")" + this->settings.host + R"(","revision":)" +
           std::to_string(this->metrics.number().value()) + R"(,"revision_age_ms":)" +
           std::to_string(age.count()) + R"(,"in_flight":)" +
           std::to_string(this->driver.in_flight()) + R"(,"stopping":)" +
           (this->driver.is_stopping() ? "true" : "false") +
           (this->distributed_configuration
                ? R"(,"distribution":)" + this->distributed_configuration->status_json()
                : "") +
           "}\n";
}

void entry_process::stop()
{
    LOG4CPLUS_INFO(this->log,
                   "Shutting down; " << this->driver.in_flight() << " requests in flight.");
    this->driver.begin_shutdown();
}

void entry_process::stop_if_drained()
{
    const bool is_drained = this->driver.is_stopping() && this->driver.may_exit() &&
                            this->link->total_queued_bytes() == 0;
    // The end of an answer for another host is queued on the link when its request ends, and
    // written until the next tick.
    if (!std::exchange(this->was_drained, is_drained) || !is_drained) {
        return;
    }
    this->callers->stop();
    if (this->distributed_configuration) {
        this->distributed_configuration->stop();
    }
    this->link->stop();
    this->context.stop();
    LOG4CPLUS_INFO(this->log, "Stopped.");
}

} // namespace bth::entry
