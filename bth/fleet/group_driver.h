// Runs one member of the agreed log over a peer link: ticks, messages, and requests that wait for
// their result.
//
//   auto made = group_driver<agreed_machine>::open(context, settings);
//   if (!made) { std::cerr << made.error(); }
//   (*made)->start(link);
//   auto done = co_await (*made)->propose(command);
#pragma once

#include "bth/consensus/member.h"
#include "bth/shell/net.h"
#include "bth/shell/peer_link.h"
#include "bth/storage/posix_disk.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tl/expected.hpp>

namespace bth::fleet {

struct group_settings {
    std::string data_folder;
    consensus::member_settings member;
    // How long a request waits for its result. An operator's client gives up after a second.
    duration request_limit{std::chrono::milliseconds{2500}};
};

template <consensus::state_machine Machine>
class group_driver : public std::enable_shared_from_this<group_driver<Machine>> {
public:
    using group_member = consensus::member<storage::posix_disk, Machine>;
    using outcome = typename group_member::result;

    // An error is one sentence.
    static tl::expected<std::shared_ptr<group_driver>, std::string>
    open(boost::asio::io_context& context, const group_settings& settings)
    {
        auto disk = storage::posix_disk::open(settings.data_folder);
        if (!disk) {
            return tl::unexpected{to_string(disk.error())};
        }
        auto member = group_member::open(std::move(*disk), settings.member, Machine{},
                                         shell::monotonic_now());
        if (!member) {
            return tl::unexpected{"can't use the data folder \"" + settings.data_folder +
                                  "\": " + to_string(member.error())};
        }
        return std::shared_ptr<group_driver>{
            new group_driver{context, settings, std::move(*member)}};
    }

    // Takes the consensus frames of the link, whose peers the caller sets. `on_progress` is called
    // after each step, which may have changed the state or the leader.
    void start(const std::shared_ptr<shell::peer_link>& peer_link,
               const std::function<void()>& on_progress)
    {
        this->link = peer_link;
        this->progress = on_progress;
        this->link->on_frame(wire::frame_kind::consensus,
                             [self = this->shared_from_this()](const auto& from, auto payload) {
                                 return self->receive(from, payload);
                             });
        this->tick();
    }

    void stop()
    {
        this->stopping = true;
        this->timer.cancel();
        for (const auto& [token, each] : this->waiting) {
            each->timer.cancel();
        }
        this->progress = [] {
        };
    }

    // Nothing if there was no result in time: then the outcome isn't known.
    boost::asio::awaitable<std::optional<outcome>> propose(std::string command)
    {
        return this->request([this, command = std::move(command)](auto token) {
            this->member.propose(shell::monotonic_now(), token, command);
        });
    }
    boost::asio::awaitable<std::optional<outcome>> read()
    {
        return this->request(
            [this](auto token) { this->member.read(shell::monotonic_now(), token); });
    }

    // Membership changes; nobody waits for their results.
    void add_member(const std::string& host)
    {
        this->member.add_member(shell::monotonic_now(), this->make_token(), host);
        this->flush();
    }
    void remove_member(const std::string& host)
    {
        this->member.remove_member(shell::monotonic_now(), this->make_token(), host);
        this->flush();
    }

    const Machine& state() const { return this->member.state(); }
    consensus::replica_status status() const { return this->member.status(shell::monotonic_now()); }
    std::optional<std::string> failure() const
    {
        const auto& failed = this->member.failure();
        return failed ? std::optional{to_string(*failed)} : std::nullopt;
    }
    const std::optional<storage::cut_tail>& cut_at_start() const
    {
        return this->member.cut_at_start();
    }

private:
    using request_action = std::function<void(consensus::request_token)>;

    // A follower's wake-ups cost processor time; its election timeouts are thirty times as long.
    static constexpr std::chrono::milliseconds tick_interval{30};

    // A request that waits for its result.
    struct waiter {
        explicit waiter(boost::asio::io_context& context) : timer{context} {}

        boost::asio::steady_timer timer;
        std::optional<outcome> result;
    };

    group_driver(boost::asio::io_context& context, const group_settings& settings,
                 group_member member)
        : context{&context},
          request_limit{settings.request_limit}, member{std::move(member)}, timer{context}
    {}

    consensus::request_token make_token() { return consensus::request_token{this->next_token++}; }

    // Passes a request to the member and waits for its result.
    boost::asio::awaitable<std::optional<outcome>> request(request_action take)
    {
        const auto self = this->shared_from_this();
        const auto token = this->make_token();
        const auto mine = std::make_shared<waiter>(*this->context);
        mine->timer.expires_after(this->request_limit);
        this->waiting.emplace(token, mine);
        take(token);
        this->flush();
        if (!mine->result && !this->stopping) {
            boost::system::error_code ended;
            co_await mine->timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ended));
        }
        this->waiting.erase(token);
        co_return std::move(mine->result);
    }

    bool receive(const shell::peer_identity& from, wire::byte_view payload)
    {
        const std::string_view bytes{reinterpret_cast<const char*>(payload.data()), payload.size()};
        const auto sent = consensus::decode_envelope(bytes);
        if (!sent || sent->from.host != from.name) {
            return false;
        }
        this->member.receive(shell::monotonic_now(), *sent);
        this->flush();
        return true;
    }

    void tick()
    {
        this->member.tick(shell::monotonic_now());
        this->flush();
        this->timer.expires_after(tick_interval);
        this->timer.async_wait([self = this->shared_from_this()](const auto& error) {
            if (!error && !self->stopping) {
                self->tick();
            }
        });
    }

    // Sends and answers what the member has put out.
    void flush()
    {
        for (const auto& sent : this->member.take_messages()) {
            const auto bytes = encode(sent);
            this->link->send(sent.to.host, wire::frame_kind::consensus,
                             {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
        }
        for (auto& result : this->member.take_results()) {
            const auto found = this->waiting.find(result.answer.token);
            if (found != this->waiting.end()) {
                found->second->result = std::move(result);
                found->second->timer.cancel();
            }
        }
        this->progress();
    }

    boost::asio::io_context* context;
    duration request_limit;
    group_member member;
    std::shared_ptr<shell::peer_link> link;
    std::function<void()> progress;
    boost::asio::steady_timer timer;
    std::map<consensus::request_token, std::shared_ptr<waiter>> waiting;
    std::uint64_t next_token{1};
    bool stopping{};
};

} // namespace bth::fleet
