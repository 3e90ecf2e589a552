// Forwards requests between entry hosts as streams that are multiplexed over the peer link. Flow
// control is per stream (see bth/wire/stream_codec.h).
//
//   auto channel = streams->open("entry-b", stream_open{...});   // null if it is not connected
//   co_await channel->send_body(bytes, last);
//   while (auto content = co_await channel->receive()) { ... }
#pragma once

#include "bth/entry/async_condition.h"
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

class stream_multiplexer;

// A chunk of a request or response body.
struct received_body {
    wire::bytes body;
    bool last{};
};

// The head of a response with the first chunk of its body.
struct received_response {
    std::uint16_t status{};
    std::vector<std::pair<std::string, std::string>> fields;
    received_body first;
};

using received_content = std::variant<received_body, received_response, wire::stream_refusal>;

// A request that another entry host forwarded to this one, with the first chunk of its body.
// Configuration objects are identified by name.
struct received_request {
    std::string service;
    std::string caller_class;
    // The failure domain of the caller.
    std::string home;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> fields;
    // Remaining time until the deadline of the request.
    std::chrono::microseconds timeout{};
    bool repeatable{};
    // The fields of the same name of steering::arrival.
    std::uint8_t hops{};
    bool retry{};
    received_body first;
};

// One end of a stream. The opener sends a request; the other end sends a response or a refusal.
// Destroying an end that has not finished cancels the stream.
class stream_channel {
public:
    stream_channel(std::shared_ptr<stream_multiplexer> streams, std::string peer, std::uint64_t id,
                   bool is_opener);
    ~stream_channel();
    stream_channel(const stream_channel&) = delete;
    stream_channel& operator=(const stream_channel&) = delete;

    // Waits for the next content, in the order sent. Returns nothing once the stream is broken or
    // cancelled and all received content has been returned.
    boost::asio::awaitable<std::optional<received_content>> receive();
    // Sends a chunk of the body as flow control allows. Returns false once the stream is broken.
    boost::asio::awaitable<bool> send_body(wire::byte_view body, bool last);
    // Start the response with the first chunk of its body, or refuse the request. Return false if
    // the stream is broken or the link does not take the frame.
    bool send_answer(std::uint16_t status, std::vector<wire::header_field> fields,
                     wire::byte_view body, bool last);
    bool send_refusal(const wire::stream_refusal& refusal);
    // Ends the stream on both sides. The peer is not notified if the response or refusal is already
    // complete.
    void cancel();

    bool is_broken() const { return this->broken; }
    // Returns whether receive() would return content immediately.
    bool has_received_content() const { return !this->receive_queue.empty(); }
    const std::string& peer_name() const { return this->peer; }

    // Called when the other side cancels, the connection is lost or sending a body chunk fails.
    std::function<void()> on_broken;

private:
    friend class stream_multiplexer;

    bool send(wire::stream_content content);
    // Counts `size` bytes as passed to the reader and returns send credit to the peer when enough
    // of it has accumulated.
    void credit_consumed(std::size_t size);
    // Marks the stream broken and wakes everything that waits for it.
    void fail();
    // Handles a frame of this stream. Returns false if it violates the protocol.
    bool handle_content(wire::stream_content& content);
    // Counts a received body chunk. Returns false if more than twice the initial window is
    // uncredited: the peer has then ignored flow control.
    bool charge_receive_window(wire::byte_view body);

    std::shared_ptr<stream_multiplexer> streams;
    std::string peer;
    std::uint64_t id;
    bool is_opener;
    std::deque<received_content> receive_queue;
    async_condition state_changed;
    // Body bytes that may be sent before the peer grants more.
    std::size_t send_credit{wire::initial_window};
    // Body bytes received for which no credit has been returned to the peer: those in the receive
    // queue and consumed_bytes.
    std::size_t uncredited_bytes{};
    // Body bytes passed to the reader for which no credit has been returned yet.
    std::size_t consumed_bytes{};
    bool broken{};
    // Whether the last body chunk or a refusal was sent.
    bool sent_last{};
    // Whether the last body chunk or a refusal was received.
    bool received_last{};
};

// All streams of this process.
class stream_multiplexer : public std::enable_shared_from_this<stream_multiplexer> {
public:
    using open_handler =
        std::function<void(std::shared_ptr<stream_channel> channel, received_request request)>;

    stream_multiplexer(boost::asio::any_io_executor executor,
                       std::shared_ptr<shell::peer_link> link);

    // Starts handling the stream frames of the link. Requests from other hosts are passed to
    // `on_open`.
    void start(open_handler on_open);

    // Opens a stream to `peer` and sends the request with the first chunk of its body. Returns null
    // if the peer is not connected or its send queue is full.
    std::shared_ptr<stream_channel> open(const std::string& peer, const wire::stream_open& request);

    std::size_t open_stream_count() const { return this->channels.size(); }

private:
    friend class stream_channel;

    struct channel_key {
        std::string peer;
        std::uint64_t id{};
        bool is_opener{};
        friend auto operator<=>(const channel_key&, const channel_key&) = default;
    };

    // Return false if the frame is malformed or violates the protocol; the link then closes the
    // connection.
    bool receive(const shell::peer_identity& from, wire::byte_view payload);
    bool accept(const shell::peer_identity& from, std::uint64_t id, const wire::stream_open& open);
    // Breaks all streams with `peer`.
    void handle_disconnect(const std::string& peer);

    boost::asio::any_io_executor executor;
    std::shared_ptr<shell::peer_link> link;
    open_handler on_open;
    std::map<channel_key, std::weak_ptr<stream_channel>> channels;
    std::uint64_t next_id{1};
};

} // namespace bth::entry
