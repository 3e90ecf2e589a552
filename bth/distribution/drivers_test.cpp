#include "bth/distribution/agent_driver.h"
#include "bth/distribution/publisher_driver.h"
#include "bth/shell/net.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <sys/resource.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace bth;
using namespace bth::distribution;

namespace {

// Runs until `done`; the bound only stops a test that would never end.
template <class Done>
bool run_until(boost::asio::io_context& context, Done done)
{
    constexpr std::chrono::seconds bound{30};
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!done() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds{100});
    }
    return done();
}

endpoint free_endpoint(boost::asio::io_context& context)
{
    const auto acceptor = shell::listen_on(context.get_executor(), {{0x7f000001}, 0});
    return shell::from_asio(acceptor->local_endpoint());
}

std::string site_text(const std::vector<endpoint>& peers, int edit)
{
    std::string hosts;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        hosts += (index == 0 ? "" : ",") + std::string{R"({"name":"entry-)"} +
                 std::to_string(index) + R"(","failure_domain":"d","http":"127.0.0.1:)" +
                 std::to_string(index + 1) + R"(","peer":")" + to_string(peers[index]) + "\"}";
    }
    return R"({"regions":[{"name":"r","cap":{"requests_per_second":9,"in_flight":)" +
           std::to_string(100 + edit) +
           R"(}}],"failure_domains":[{"name":"d","region":"r","cap":{"requests_per_second":9,)" +
           R"("in_flight":9}}],"caller_classes":[{"name":"public"}],"hosts":[)" + hosts + "]}";
}

struct entry {
    entry(boost::asio::io_context& context, const std::string& name, std::uint64_t life,
          const std::string& folder, const endpoint& where)
        : link{std::make_shared<shell::peer_link>(
              context.get_executor(), shell::peer_link_settings{name, incarnation{life}})}
    {
        membership::agent_settings settings;
        settings.self = {name, incarnation{life}};
        settings.failure_domain = "d";
        settings.seed = life;
        this->driver = std::make_shared<agent_driver>(
            context, this->link, settings, [this](auto model, revision number) {
                std::vector<shell::peer_address> peers;
                for (const config::entry_host& host : model->hosts) {
                    peers.push_back({host.name, host.peer});
                }
                this->link->set_peers(peers);
                this->in_force.push_back(number);
            });
        CHECK_TRUE(this->driver->start(folder).has_value());
        CHECK_TRUE(this->link->listen(where).has_value());
    }

    void stop() const
    {
        this->driver->stop();
        this->link->stop();
    }

    revision now() const { return this->in_force.empty() ? revision{} : this->in_force.back(); }

    std::shared_ptr<shell::peer_link> link;
    std::shared_ptr<agent_driver> driver;
    std::vector<revision> in_force;
};

// As long as it lives, files of this process take no bytes, as on a full disk.
class full_disk {
public:
    full_disk() : handler{std::signal(SIGXFSZ, SIG_IGN)}
    {
        ::getrlimit(RLIMIT_FSIZE, &this->before);
        const rlimit none{0, this->before.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &none);
    }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;
    ~full_disk()
    {
        ::setrlimit(RLIMIT_FSIZE, &this->before);
        (void)std::signal(SIGXFSZ, this->handler);
    }

private:
    void (*handler)(int);
    rlimit before{};
};

// The logging library keeps its loggers until the process ends; they are made outside of the leak
// check, which covers all else.
void make_loggers()
{
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    log4cplus::Logger::getInstance("shell.peer_link");
    log4cplus::Logger::getInstance("distribution");
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

} // namespace

// clang-format off
TEST_GROUP(drivers)
{
    // The thread of the disk allocates beside the test's.
    void setup() override
    {
        MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
        make_loggers();
    }
    void teardown() override
    {
        MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
    }
};
// clang-format on

TEST(drivers, an_edit_reaches_every_host_and_a_restarted_one_never_falls_back)
{
    boost::asio::io_context context;
    std::string folder = (std::filesystem::temp_directory_path() / "bth-drivers-XXXXXX").string();
    CHECK_TRUE(::mkdtemp(folder.data()) != nullptr);
    const std::vector<endpoint> where{free_endpoint(context), free_endpoint(context),
                                      free_endpoint(context)};
    const auto control_link = std::make_shared<shell::peer_link>(
        context.get_executor(), shell::peer_link_settings{"control-a", incarnation{1}});
    const auto control = std::make_shared<publisher_driver>(context, control_link,
                                                            std::vector<shell::peer_address>{});
    control->start();
    control->set_active(true);
    std::vector<std::unique_ptr<entry>> hosts;
    for (std::size_t index = 0; index < where.size(); ++index) {
        const std::string name = "entry-" + std::to_string(index);
        hosts.push_back(std::make_unique<entry>(context, name, index + 1, index == 0 ? folder : "",
                                                where[index]));
    }
    control->accepted(revision{1}, site_text(where, 1));
    CHECK_TRUE(run_until(context, [&] { return control->unconfirmed(revision{1}).empty(); }));
    hosts[0]->stop();
    context.restart();
    context.poll();
    hosts[0].reset();
    for (std::uint64_t number = 2; number <= 50; ++number) {
        control->accepted(revision{number}, site_text(where, static_cast<int>(number)));
    }
    hosts[0] = std::make_unique<entry>(context, "entry-0", 10, folder, where[0]);
    CHECK_TRUE(run_until(context, [&] { return control->unconfirmed(revision{50}).empty(); }));
    CHECK_TRUE(hosts[0]->now() == revision{50});
    CHECK_TRUE(hosts[0]->in_force.front() >= revision{1});
    for (const auto& each : hosts) {
        each->stop();
    }
    control->stop();
    control_link->stop();
    context.restart();
    context.poll();
    std::filesystem::remove_all(folder);
}

TEST(drivers, a_host_whose_disk_was_full_takes_the_next_revision_into_force)
{
    boost::asio::io_context context;
    std::string folder = (std::filesystem::temp_directory_path() / "bth-drivers-XXXXXX").string();
    CHECK_TRUE(::mkdtemp(folder.data()) != nullptr);
    const std::vector<endpoint> where{free_endpoint(context)};
    const auto control_link = std::make_shared<shell::peer_link>(
        context.get_executor(), shell::peer_link_settings{"control-a", incarnation{1}});
    const auto control = std::make_shared<publisher_driver>(context, control_link,
                                                            std::vector<shell::peer_address>{});
    control->start();
    control->set_active(true);
    auto host = std::make_unique<entry>(context, "entry-0", 1, folder, where[0]);
    control->accepted(revision{1}, site_text(where, 1));
    CHECK_TRUE(run_until(context, [&] { return control->unconfirmed(revision{1}).empty(); }));
    {
        const full_disk full;
        control->accepted(revision{2}, site_text(where, 2));
        CHECK_TRUE(run_until(context, [&] { return host->driver->storing_fails(); }));
        const auto another_try =
            std::chrono::steady_clock::now() + membership::persist_retry_interval * 3 / 2;
        run_until(context, [&] { return std::chrono::steady_clock::now() >= another_try; });
        CHECK_TRUE(host->driver->storing_fails());
        CHECK_TRUE(host->driver->status().newest == revision{2});
        CHECK_TRUE(host->now() == revision{1});
    }
    control->accepted(revision{3}, site_text(where, 3));
    CHECK_TRUE(run_until(context, [&] { return control->unconfirmed(revision{3}).empty(); }));
    CHECK_TRUE(host->now() == revision{3});
    CHECK_FALSE(host->driver->storing_fails());
    host->stop();
    control->stop();
    control_link->stop();
    context.restart();
    context.poll();
    host.reset();
    auto stored = config_store<storage::posix_disk>::open(storage::posix_disk::open(folder).value(),
                                                          "entry-0");
    CHECK_TRUE(stored->take_stored()->at() == revision{3});
    std::filesystem::remove_all(folder);
}
