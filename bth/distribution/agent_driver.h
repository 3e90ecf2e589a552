// Drives a membership::agent in a process: passes it the frames of the peer link and the time,
// carries out what it orders, and hands over each configuration that comes into force.
//
//   auto driver = std::make_shared<agent_driver>(context, link, settings, on_in_force);
//   if (auto opened = driver->start("/var/lib/bth-entry"); !opened) { return opened.error(); }
//
// The disk is written on a thread of its own, so that a slow one holds up no request.
#pragma once

#include "bth/config/model.h"
#include "bth/distribution/config_store.h"
#include "bth/membership/agent.h"
#include "bth/shell/peer_link.h"
#include "bth/storage/posix_disk.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <log4cplus/logger.h>
#include <tl/expected.hpp>

namespace bth::distribution {

// What the metrics show of the traffic of membership and distribution; payloads without headers.
struct message_counters {
    std::uint64_t sent{};
    std::uint64_t received{};
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
};

class agent_driver : public std::enable_shared_from_this<agent_driver> {
public:
    using in_force_handler =
        std::function<void(std::shared_ptr<const config::model> model, revision number)>;

    // Frames of the kinds membership and distribution are handled here; the link listens later.
    agent_driver(boost::asio::io_context& context, std::shared_ptr<shell::peer_link> link,
                 membership::agent_settings settings, in_force_handler on_in_force);

    // Reads the data folder, if one is named, and begins; or one sentence that says what failed.
    tl::expected<void, std::string> start(const std::string& data_folder);
    void stop();

    // The hosts of the configuration that the disk held, to connect with before it is in force.
    const std::vector<shell::peer_address>& stored_peers() const { return this->known_peers; }

    membership::agent_status status() const;
    const std::vector<membership::member>& members() const { return this->core->members(); }
    const membership::replica_counters& counters() const { return this->core->counters(); }
    const message_counters& messages() const { return this->counted; }
    // Whether the last save failed, so that a revision waits for the disk.
    bool storing_fails() const { return this->store_failed; }
    // Hosts that the platform's list says are gone.
    void hint_gone(const std::vector<std::string>& hosts) { this->core->hint_gone(hosts); }

private:
    using disk_store = config_store<storage::posix_disk>;

    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    void schedule_tick();
    void perform(const membership::actions& todo);
    void perform_one(const membership::send_message& what);
    void perform_one(const membership::persist_order& what);
    void perform_one(const membership::take_into_force& what);
    void saved(revision upto, const storage::disk_result& done);

    boost::asio::io_context& context;
    std::shared_ptr<shell::peer_link> link;
    membership::agent_settings settings;
    in_force_handler on_in_force;
    std::unique_ptr<membership::agent> core;
    // Only used on the disk thread once the driver has started.
    std::shared_ptr<disk_store> store;
    boost::asio::thread_pool disk_thread{1};
    boost::asio::steady_timer tick_timer;
    message_counters counted;
    std::vector<shell::peer_address> known_peers;
    bool stopped{};
    bool store_failed{};
    log4cplus::Logger log{log4cplus::Logger::getInstance("distribution")};
};

} // namespace bth::distribution
