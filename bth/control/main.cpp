// bth-control: accepts the operators' edits.
#include "bth/control/config_feed.h"
#include "bth/control/edit_service.h"
#include "bth/control/local_proposer.h"
#include "bth/control/replicated_proposer.h"
#include "bth/control/settings.h"
#include "bth/shell/files.h"
#include "bth/shell/log.h"
#include "bth/shell/net.h"
#include "bth/shell/peer_link.h"
#include "bth/shell/program.h"
#include "bth/shell/simple_http.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace {

using bth::control::control_settings;
using bth::control::local_proposer;
using bth::control::replicated_proposer;

constexpr const char* program = "bth-control";
// Interval of attempts to go on after an edit couldn't be saved.
constexpr std::chrono::seconds resume_interval{1};

int fail(const std::string& why)
{
    return bth::shell::fail_start(program, why);
}

std::vector<bth::shell::peer_address> other_peers(const control_settings& settings)
{
    std::vector<bth::shell::peer_address> peers;
    for (const bth::control::control_member& each : settings.members) {
        if (each.host != settings.host) {
            peers.push_back({each.host, each.peer});
        }
    }
    return peers;
}

std::shared_ptr<bth::shell::peer_link> make_link(boost::asio::io_context& context,
                                                 const control_settings& settings)
{
    const bth::shell::peer_link_settings own{settings.host, bth::shell::fresh_incarnation()};
    return std::make_shared<bth::shell::peer_link>(context.get_executor(), own);
}

// Answers operators and feeds the distribution until a signal to stop; requests under way are
// finished.
template <class Proposer>
int serve(boost::asio::io_context& context, const control_settings& settings, Proposer& decider,
          const std::shared_ptr<bth::shell::peer_link>& link, const std::function<void()>& on_stop)
{
    auto acceptor = bth::shell::listen_on(context.get_executor(), settings.http);
    if (!acceptor) {
        return fail(acceptor.error());
    }
    const auto log = log4cplus::Logger::getInstance("control");
    const auto feed = std::make_shared<bth::control::config_feed<Proposer>>(
        context, decider,
        std::make_shared<bth::distribution::publisher_driver>(context, link,
                                                              other_peers(settings)));
    // The feed adds its relays, so the other control hosts come first.
    link->set_peers(other_peers(settings));
    feed->start();
    if (const auto listening = link->listen(settings.peer); !listening) {
        return fail(listening.error());
    }
    const auto service = std::make_shared<bth::control::edit_service<Proposer>>(
        decider, settings.ids_kept,
        [feed](bth::control::control_status& status) { feed->complete(status); });
    const auto server =
        std::make_shared<bth::shell::http_server>(std::move(*acceptor), service->handler());
    server->start();
    const bth::shell::stop_signal stop{context, [&] {
                                           LOG4CPLUS_INFO(log, "Stopping.");
                                           server->stop();
                                           on_stop();
                                           feed->stop();
                                           link->stop();
                                       }};
    LOG4CPLUS_INFO(log, "Listening on " << bth::to_string(settings.http) << " with version "
                                        << decider.status().version.value() << ".");
    bth::shell::announce_ready();
    context.run();
    return bth::shell::exit_ok;
}

// Lets a host that decides alone go on after a failed save without waiting for an operator's
// request: a stopped one feeds no entry host.
class resume_loop {
public:
    resume_loop(boost::asio::io_context& context, local_proposer& decider)
        : decider{&decider}, timer{context}
    {}

    void start()
    {
        this->timer.expires_after(resume_interval);
        this->timer.async_wait([this](const boost::system::error_code& error) {
            if (!error && !this->stopped) {
                // A failed attempt leaves the reason with the decider.
                (void)this->decider->resume();
                this->start();
            }
        });
    }

    void stop()
    {
        this->stopped = true;
        this->timer.cancel();
    }

private:
    local_proposer* decider;
    boost::asio::steady_timer timer;
    bool stopped{};
};

int serve_alone(const control_settings& settings)
{
    boost::asio::io_context context;
    auto decider = local_proposer::open(settings.host, settings.data_folder);
    if (!decider) {
        return fail(decider.error());
    }
    resume_loop resuming{context, *decider};
    resuming.start();
    return serve(context, settings, *decider, make_link(context, settings),
                 [&] { resuming.stop(); });
}

int serve_in_group(const control_settings& settings, bool found)
{
    boost::asio::io_context context;
    const auto decider = replicated_proposer::open(context, settings, found);
    if (!decider) {
        return fail(decider.error());
    }
    const auto link = make_link(context, settings);
    (*decider)->start(link);
    return serve(context, settings, **decider, link, [&] { (*decider)->stop(); });
}

int run(const std::string& settings_file, bool found)
{
    const auto text = bth::shell::read_file(settings_file);
    if (!text) {
        return fail(text.error());
    }
    const auto settings = bth::control::read_control_settings(settings_file, *text);
    if (!settings) {
        return fail(to_string(settings.error()));
    }
    const bth::shell::logging_session logging{settings->log};
    const bool alone = settings->members.size() == 1;
    return alone ? serve_alone(*settings) : serve_in_group(*settings, found);
}

} // namespace

int main(int count, char** arguments)
{
    CLI::App app{"Accepts the operators' edits."};
    std::string settings_file;
    app.add_option("settings,--settings", settings_file, "JSON file with this process's settings")
        ->required();
    bool found{};
    app.add_flag("--found", found,
                 "Found the group that the settings name, if the data folder is blank");
    try {
        app.parse(count, arguments);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? bth::shell::exit_ok : bth::shell::exit_usage;
    }
    return run(settings_file, found);
}
