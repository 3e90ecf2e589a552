#include "bth/distribution/agent_driver.h"

#include "bth/distribution/internal/frames.h"
#include "bth/shell/net.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <log4cplus/loggingmacros.h>

namespace bth::distribution {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};

membership::peer to_peer(const shell::peer_identity& from)
{
    return {from.name, from.life};
}

std::vector<shell::peer_address> peers_of(const config::text_table& table)
{
    std::vector<shell::peer_address> peers;
    if (const auto model = config::read_table(table)) {
        for (const config::entry_host& host : model->hosts) {
            peers.push_back({host.name, host.peer});
        }
    }
    return peers;
}

} // namespace

agent_driver::agent_driver(boost::asio::io_context& context, std::shared_ptr<shell::peer_link> link,
                           membership::agent_settings settings, in_force_handler on_in_force)
    : context{context}, link{std::move(link)}, settings{std::move(settings)},
      on_in_force{std::move(on_in_force)}, tick_timer{context}
{}

tl::expected<void, std::string> agent_driver::start(const std::string& data_folder)
{
    std::optional<config::text_table> stored;
    if (!data_folder.empty()) {
        auto disk = storage::posix_disk::open(data_folder);
        if (!disk) {
            return tl::unexpected{to_string(disk.error())};
        }
        auto opened = disk_store::open(std::move(*disk), this->settings.self.host);
        if (!opened) {
            return tl::unexpected{to_string(opened.error())};
        }
        this->store = std::make_shared<disk_store>(std::move(*opened));
        stored = this->store->take_stored();
        this->settings.durable = true;
    }
    if (stored) {
        this->known_peers = peers_of(*stored);
        LOG4CPLUS_INFO(this->log, "The disk holds revision " << stored->at().value() << ".");
    }
    this->core = std::make_unique<membership::agent>(this->settings, std::move(stored));
    for (const auto kind : {wire::frame_kind::membership, wire::frame_kind::distribution}) {
        this->link->on_frame(kind, [weak = this->weak_from_this()](const auto& from, auto payload) {
            const auto self = weak.lock();
            return self == nullptr || self->receive(from, payload);
        });
    }
    this->schedule_tick();
    return {};
}

void agent_driver::stop()
{
    this->stopped = true;
    this->tick_timer.cancel();
    this->disk_thread.join();
}

membership::agent_status agent_driver::status() const
{
    return this->core->status(shell::monotonic_now());
}

bool agent_driver::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const auto what = internal::decode(payload);
    if (!what) {
        return false;
    }
    ++this->counted.received;
    this->counted.bytes_received += payload.size();
    this->perform(this->core->receive(shell::monotonic_now(), to_peer(from), *what));
    return true;
}

void agent_driver::schedule_tick()
{
    this->tick_timer.expires_after(tick_interval);
    this->tick_timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->stopped) {
                self->perform(self->core->tick(shell::monotonic_now()));
                self->schedule_tick();
            }
        });
}

void agent_driver::perform(const membership::actions& todo)
{
    for (const membership::action& each : todo) {
        std::visit([&](const auto& what) { this->perform_one(what); }, each);
    }
}

void agent_driver::perform_one(const membership::send_message& what)
{
    const std::size_t bytes = internal::send(*this->link, what);
    this->counted.sent += bytes == 0 ? 0 : 1;
    this->counted.bytes_sent += bytes;
}

void agent_driver::perform_one(const membership::persist_order& what)
{
    auto table = std::make_shared<const config::text_table>(what.whole ? this->core->table()
                                                                       : config::text_table{});
    boost::asio::post(this->disk_thread, [self = this->shared_from_this(), what, table] {
        const storage::disk_result done = self->store->save(what, *table);
        boost::asio::post(self->context, [self, upto = what.upto, done] {
            if (!self->stopped) {
                self->saved(upto, done);
            }
        });
    });
}

void agent_driver::saved(revision upto, const storage::disk_result& done)
{
    const bool failed_before = std::exchange(this->store_failed, !done);
    if (!done) {
        // One line for all tries that fail in a row.
        if (!failed_before) {
            LOG4CPLUS_ERROR(this->log, "Can't store revision " << upto.value() << ": "
                                                               << to_string(done.error()) << ".");
        }
        this->core->persist_failed(shell::monotonic_now());
        return;
    }
    if (failed_before) {
        LOG4CPLUS_INFO(this->log, "Stores revisions again, up to " << upto.value() << ".");
    }
    this->perform(this->core->persisted(shell::monotonic_now(), upto));
}

void agent_driver::perform_one(const membership::take_into_force& what)
{
    auto model = config::read_table(this->core->table());
    if (!model) {
        LOG4CPLUS_ERROR(this->log, "Revision " << what.mark.at.value()
                                               << " can't be used: " << to_string(model.error()));
        return;
    }
    this->on_in_force(std::make_shared<const config::model>(std::move(*model)), what.mark.at);
    this->perform(this->core->in_use(shell::monotonic_now()));
}

} // namespace bth::distribution
