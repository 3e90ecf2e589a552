#include "bth/distribution/publisher_driver.h"

#include "bth/config/model.h"
#include "bth/distribution/internal/frames.h"
#include "bth/shell/net.h"

#include <chrono>
#include <utility>

#include <log4cplus/loggingmacros.h>

namespace bth::distribution {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};

} // namespace

publisher_driver::publisher_driver(boost::asio::io_context& context,
                                   std::shared_ptr<shell::peer_link> link,
                                   std::vector<shell::peer_address> other_peers)
    : link{std::move(link)}, other_peers{std::move(other_peers)},
      core{membership::publisher_settings{}}, tick_timer{context}
{}

void publisher_driver::start()
{
    for (const auto kind : {wire::frame_kind::membership, wire::frame_kind::distribution}) {
        this->link->on_frame(kind, [weak = this->weak_from_this()](const auto& from, auto payload) {
            const auto self = weak.lock();
            return self == nullptr || self->receive(from, payload);
        });
    }
    this->link->set_peers(this->other_peers);
    this->schedule_tick();
}

void publisher_driver::stop()
{
    this->stopped = true;
    this->tick_timer.cancel();
}

void publisher_driver::set_active(bool active)
{
    this->core.set_active(shell::monotonic_now(), active);
}

void publisher_driver::accepted(revision number, const std::string& text)
{
    if (number <= this->core.table().at()) {
        return;
    }
    auto table = config::text_table::from_text("accepted text", text);
    if (!table) {
        LOG4CPLUS_ERROR(this->log, "Accepted revision " << number.value() << " can't be read: "
                                                        << to_string(table.error()));
        return;
    }
    table->set_revision(number);
    this->addresses.clear();
    if (const auto model = config::read_table(*table)) {
        for (const config::entry_host& host : model->hosts) {
            this->addresses[host.name] = host.peer;
        }
    }
    const membership::actions todo = this->core.publish(shell::monotonic_now(), *table);
    this->connect_relays();
    this->perform(todo);
}

std::vector<membership::domain_status> publisher_driver::domains() const
{
    return this->core.domains(shell::monotonic_now());
}

bool publisher_driver::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    const auto what = internal::decode(payload);
    if (!what) {
        return false;
    }
    this->perform(this->core.receive(shell::monotonic_now(), {from.name, from.life}, *what));
    return true;
}

void publisher_driver::schedule_tick()
{
    this->tick_timer.expires_after(tick_interval);
    this->tick_timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->stopped) {
                self->perform(self->core.tick(shell::monotonic_now()));
                self->connect_relays();
                self->schedule_tick();
            }
        });
}

void publisher_driver::perform(const membership::actions& todo)
{
    for (const membership::action& each : todo) {
        if (const auto* what = std::get_if<membership::send_message>(&each); what != nullptr) {
            internal::send(*this->link, *what);
        }
    }
}

// The link stays connected with the relays alone, however many hosts there are.
void publisher_driver::connect_relays()
{
    std::vector<std::string> relays = this->core.relays();
    if (relays == this->connected_relays) {
        return;
    }
    std::vector<shell::peer_address> peers = this->other_peers;
    for (const std::string& name : relays) {
        if (const auto place = this->addresses.find(name); place != this->addresses.end()) {
            peers.push_back({name, place->second});
        }
    }
    this->link->set_peers(peers);
    this->connected_relays = std::move(relays);
}

} // namespace bth::distribution
