// Feeds what a control host accepts to the distribution, and puts the hosts' confirmations into its
// status.
//
//   auto feed = std::make_shared<config_feed<local_proposer>>(context, decider, publisher);
//   feed->start();
//   feed->complete(status);
//
// Only a leader distributes: a host that no longer knows itself to lead falls silent towards the
// entry hosts, which then say that control is out of reach.
#pragma once

#include "bth/control/proposer.h"
#include "bth/distribution/publisher_driver.h"

#include <chrono>
#include <concepts>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bth::control {

// What the feed needs of the acceptance path. applied() is the last accepted text that this host
// knows, without asking another; it costs a copy of the text.
template <class Source>
concept accepted_source = requires(const Source& known)
{
    {
        known.status()
        } -> std::same_as<control_status>;
    {
        known.applied()
        } -> std::same_as<accepted_text>;
};

template <accepted_source Source>
class config_feed : public std::enable_shared_from_this<config_feed<Source>> {
public:
    // `source` outlives the feed.
    config_feed(boost::asio::io_context& context, const Source& source,
                std::shared_ptr<distribution::publisher_driver> publisher)
        : source{&source}, publisher{std::move(publisher)}, timer{context}
    {}

    void start()
    {
        this->publisher->start();
        this->look();
    }

    void stop()
    {
        this->stopped = true;
        this->timer.cancel();
        this->publisher->stop();
    }

    // Adds the confirmations to a status, if this host leads and distributes that version already.
    void complete(control_status& status) const
    {
        if (status.role != leader_role || this->handed_over < status.version) {
            return;
        }
        std::vector<host_confirmation> all;
        for (const auto& [host, version] : this->publisher->confirmations()) {
            all.push_back({host, version});
        }
        status.confirmations = std::move(all);
    }

private:
    static constexpr std::chrono::milliseconds look_interval{10};
    static constexpr const char* leader_role = "leader";

    // Hands over what was accepted since the last look.
    void look()
    {
        const control_status status = this->source->status();
        this->publisher->set_active(status.role == leader_role);
        if (status.version > this->handed_over) {
            accepted_text accepted = this->source->applied();
            this->handed_over = accepted.version;
            this->publisher->accepted(accepted.version, accepted.text);
        }
        this->timer.expires_after(look_interval);
        this->timer.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code& error) {
                if (!error && !self->stopped) {
                    self->look();
                }
            });
    }

    const Source* source;
    std::shared_ptr<distribution::publisher_driver> publisher;
    boost::asio::steady_timer timer;
    revision handed_over;
    bool stopped{};
};

} // namespace bth::control
