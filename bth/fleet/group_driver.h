// Runs one member of a consensus group over a peer link: timer ticks, messages, and requests that
// wait for their result.
//
//   auto opened = group_driver<agreed_state_machine>::open(context, settings);
//   if (!opened) { std::cerr << opened.error(); }
//   (*opened)->start(link, on_progress);
//   auto result = co_await (*opened)->propose(command);
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
    // Longest wait for the result of a request. Operators' clients give up after a second.
    duration request_timeout{std::chrono::milliseconds{2500}};
};

template <consensus::state_machine Machine>
class group_driver : public std::enable_shared_from_this<group_driver<Machine>> {
public:
    using group_member = consensus::member<storage::posix_disk, Machine>;
    using result_type = typename group_member::result;

    // Opens the log in the data folder. On failure, returns a one-sentence error message.
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

    // Handles the consensus frames of the link, whose peers the owner of the link sets.
    // `on_progress` is called after each step, which may have changed the state or the leader.
    void start(const std::shared_ptr<shell::peer_link>& peer_link,
               const std::function<void()>& on_progress)
    {
        this->link = peer_link;
        this->progress_handler = on_progress;
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
        for (const auto& [token, entry] : this->pending) {
            entry->timer.cancel();
        }
        this->progress_handler = [] {
        };
    }

    // Proposes a command and returns its result once it is committed or rejected. Returns nothing
    // if there was no result in time, or at once if the log can't be written: the outcome is
    // unknown then.
    boost::asio::awaitable<std::optional<result_type>> propose(std::string command)
    {
        return this->request([this, command = std::move(command)](auto token) {
            this->member.propose(shell::monotonic_now(), token, command);
        });
    }
    // Returns request_outcome::read_ready once a majority has confirmed that this member is the
    // leader; machine() then holds all that was committed before the call. Otherwise as propose().
    boost::asio::awaitable<std::optional<result_type>> read_barrier()
    {
        return this->request(
            [this](auto token) { this->member.read(shell::monotonic_now(), token); });
    }

    // Request membership changes, without waiting for their results.
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
    void record_domains(const std::map<std::string, std::string>& domains)
    {
        this->member.record_domains(shell::monotonic_now(), this->make_token(), domains);
        this->flush();
    }

    const Machine& machine() const { return this->member.state(); }
    consensus::replica_status status() const { return this->member.status(shell::monotonic_now()); }
    std::optional<std::string> failure() const
    {
        const auto& error = this->member.failure();
        return error ? std::optional{to_string(*error)} : std::nullopt;
    }
    // The torn tail of the log that was truncated by open(), if any.
    const std::optional<storage::cut_tail>& truncated_tail() const
    {
        return this->member.cut_at_start();
    }

private:
    using request_action = std::function<void(consensus::request_token)>;

    // Interval of attempts to resume after the log couldn't be written. Each one reads the whole
    // log.
    static constexpr std::chrono::milliseconds resume_interval{250};
    // Shorter ticks would only cost processor time on the followers: election timeouts are twenty
    // to thirty times as long.
    static constexpr std::chrono::milliseconds tick_interval{30};

    // A request that waits for its result.
    struct pending_request {
        explicit pending_request(boost::asio::io_context& context) : timer{context} {}

        boost::asio::steady_timer timer;
        std::optional<result_type> result;
    };

    group_driver(boost::asio::io_context& context, const group_settings& settings,
                 group_member member)
        : context{&context},
          request_timeout{settings.request_timeout}, member{std::move(member)}, timer{context}
    {}

    consensus::request_token make_token() { return consensus::request_token{this->next_token++}; }

    // Submits a request to the member and waits for its result.
    boost::asio::awaitable<std::optional<result_type>> request(request_action submit)
    {
        const auto self = this->shared_from_this();
        const auto token = this->make_token();
        const auto awaited = std::make_shared<pending_request>(*this->context);
        awaited->timer.expires_after(this->request_timeout);
        this->pending.emplace(token, awaited);
        submit(token);
        this->flush();
        if (!awaited->result && !this->stopping && !this->member.failure()) {
            boost::system::error_code ignored;
            co_await awaited->timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        this->pending.erase(token);
        co_return std::move(awaited->result);
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
        const auto now = shell::monotonic_now();
        if (this->member.failure() && now >= this->resume_due) {
            this->resume_due = now + resume_interval;
            // A failed attempt leaves the reason in failure().
            (void)this->member.resume(now);
        }
        this->member.tick(now);
        this->flush();
        this->timer.expires_after(tick_interval);
        this->timer.async_wait([self = this->shared_from_this()](const auto& error) {
            if (!error && !self->stopping) {
                self->tick();
            }
        });
    }

    // Sends the member's messages and completes the requests that have a result.
    void flush()
    {
        for (const auto& sent : this->member.take_messages()) {
            const auto bytes = encode(sent);
            this->link->send(sent.to.host, wire::frame_kind::consensus,
                             {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
        }
        for (auto& result : this->member.take_results()) {
            const auto waiting_request = this->pending.find(result.answer.token);
            if (waiting_request != this->pending.end()) {
                waiting_request->second->result = std::move(result);
                waiting_request->second->timer.cancel();
            }
        }
        this->give_up_requests_after_failure();
        this->progress_handler();
    }

    // Ends the waits of requests that a stopped member won't answer.
    void give_up_requests_after_failure()
    {
        const bool failed = this->member.failure().has_value();
        if (failed && !this->was_failed) {
            this->resume_due = shell::monotonic_now() + resume_interval;
            for (const auto& [token, entry] : this->pending) {
                entry->timer.cancel();
            }
        }
        this->was_failed = failed;
    }

    boost::asio::io_context* context;
    duration request_timeout;
    group_member member;
    std::shared_ptr<shell::peer_link> link;
    std::function<void()> progress_handler;
    boost::asio::steady_timer timer;
    std::map<consensus::request_token, std::shared_ptr<pending_request>> pending;
    std::uint64_t next_token{1};
    // While the member is stopped: when to try to resume it.
    time_point resume_due;
    bool was_failed{};
    bool stopping{};
};

} // namespace bth::fleet
