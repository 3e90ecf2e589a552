// Requests between entry hosts as streams over the peer link, many at once on one connection.
//
//   auto channel = hub->open("entry-b", stream_open{...});   // nothing if the host isn't connected
//   co_await channel->send_body(bytes, last);
//   while (auto part = co_await channel->receive()) { ... }
#pragma once

#include "bth/entry/signal.h"
#include "bth/shell/peer_link.h"
#include "bth/wire/stream_codec.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bth::entry {

class stream_hub;

struct received_body {
    wire::bytes body;
    bool last{};
};

struct received_answer {
    std::uint16_t status{};
    std::vector<std::pair<std::string, std::string>> fields;
    received_body first;
};

using received_part = std::variant<received_body, received_answer, wire::stream_refusal>;

// A request that another host opened here.
struct received_open {
    std::string service;
    std::string caller_class;
    std::string home;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> fields;
    std::chrono::microseconds timeout{};
    bool repeatable{};
    std::uint8_t hops{};
    bool retry{};
    received_body first;
};

// One side of a stream.
class stream_channel {
public:
    stream_channel(std::shared_ptr<stream_hub> hub, std::string peer, std::uint64_t id,
                   bool is_opener);
    ~stream_channel();
    stream_channel(const stream_channel&) = delete;
    stream_channel& operator=(const stream_channel&) = delete;

    // The next part, in order; nothing once the stream is broken or cancelled.
    boost::asio::awaitable<std::optional<received_part>> receive();
    // Sends a part of the body as the window allows; false once the stream is broken.
    boost::asio::awaitable<bool> send_body(wire::byte_view body, bool last);
    bool send_answer(std::uint16_t status, std::vector<wire::header_field> fields,
                     wire::byte_view body, bool last);
    bool send_refusal(const wire::stream_refusal& refusal);
    // Ends the stream on both sides, unless it has ended already.
    void cancel();

    bool is_broken() const { return this->broken; }
    // Whether a refusal or another final part waits to be received.
    bool has_part() const { return !this->inbox.empty(); }
    const std::string& peer_name() const { return this->peer; }

    // Called when the other side cancels or the connection is lost.
    std::function<void()> on_broken;

private:
    friend class stream_hub;

    bool send(wire::stream_content content);
    void account(std::size_t consumed);
    void fail();
    // False if the part breaks the rules of the protocol.
    bool take(wire::stream_content& content);
    bool take_body(wire::byte_view body);

    std::shared_ptr<stream_hub> hub;
    std::string peer;
    std::uint64_t id;
    bool is_opener;
    std::deque<received_part> inbox;
    signal changed;
    std::size_t send_credit{wire::initial_window};
    // Body bytes in the inbox and those handed out that the window doesn't show yet.
    std::size_t unreturned{};
    std::size_t consumed{};
    bool broken{};
    bool sent_end{};
    bool got_end{};
};

class stream_hub : public std::enable_shared_from_this<stream_hub> {
public:
    using open_handler =
        std::function<void(std::shared_ptr<stream_channel> channel, received_open request)>;

    stream_hub(boost::asio::any_io_executor executor, std::shared_ptr<shell::peer_link> link);

    // Takes the stream frames of the link; requests of other hosts go to the handler.
    void start(open_handler on_open);

    std::shared_ptr<stream_channel> open(const std::string& peer, const wire::stream_open& request);

    std::size_t open_streams() const { return this->channels.size(); }

private:
    friend class stream_channel;

    struct channel_key {
        std::string peer;
        std::uint64_t id{};
        bool is_opener{};
        friend auto operator<=>(const channel_key&, const channel_key&) = default;
    };

    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    bool accept(const shell::peer_identity& from, std::uint64_t id, const wire::stream_open& open);
    void lost(const std::string& peer);

    boost::asio::any_io_executor executor;
    std::shared_ptr<shell::peer_link> link;
    open_handler on_open;
    std::map<channel_key, std::weak_ptr<stream_channel>> channels;
    std::uint64_t next_id{1};
};

} // namespace bth::entry
