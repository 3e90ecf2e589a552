// Links between the processes of the system: a TCP connection for each pair, with frames of
// bth/wire. The link carries payloads and knows nothing of their meaning.
//
//   auto link = std::make_shared<peer_link>(executor, peer_link_settings{"entry-a", life});
//   link->on_frame(wire::frame_kind::membership, [](const peer_identity& from, wire::byte_view p) {
//       return take(from.name, p);   // false: malformed, the connection is closed
//   });
//   if (auto bad = link->listen(where); !bad) { std::cerr << bad.error(); }
//   link->set_peers({{"entry-b", address_of_b}});
//   link->send("entry-b", wire::frame_kind::membership, payload);
//
// Nothing is kept for a peer that isn't connected: what must arrive is sent again by its owner. Of
// two processes that know each other the one with the smaller name connects, the other only after
// some delay. If both did, both connections stay: each process goes on sending over the one that it
// had first and receives over both, so that nothing that is on its way is lost. A process that
// isn't in the peer set may connect and is answered under the name it states.
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/wire/frame.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <tl/expected.hpp>

namespace bth::shell {

// Who is at the other end.
struct peer_identity {
    std::string name;
    incarnation life;
};

// Where a peer listens.
struct peer_address {
    std::string name;
    endpoint where;
    // Dial it at once, whatever its name: it doesn't know this process and won't dial.
    bool at_once{};
};

struct peer_link_settings {
    // The name of this process, unique among all that connect to each other.
    std::string name;
    incarnation life;
    // The most bytes that wait to be written to one peer.
    std::size_t queue_bytes{std::size_t{32} * 1024 * 1024};
};

// Takes one payload, valid during the call only. False if it is malformed: the connection is
// closed.
using frame_handler = std::function<bool(const peer_identity& from, wire::byte_view payload)>;

// A connection to a peer was made, or is gone; `reason` tells why it is gone, valid during the call
// only. A peer that is still connected() when a connection to it is gone has another one, over
// which it may go on sending; frames to it may be lost.
using peer_change_handler =
    std::function<void(const peer_identity& peer, bool connected, std::string_view reason)>;

class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(const boost::asio::any_io_executor& executor, peer_link_settings settings);
    ~peer_link();

    // Handlers are set before listen and set_peers. One handler a kind; any number for changes.
    void on_frame(wire::frame_kind kind, frame_handler handler);
    void on_change(peer_change_handler handler);

    // Accepts connections at `where`, or one sentence that says why not.
    tl::expected<void, std::string> listen(const endpoint& where);

    // The peers to stay connected with; the connections to all others that were set before are
    // closed. The own name is passed over.
    void set_peers(const std::vector<peer_address>& peers);

    // False if the peer isn't connected or its queue is full; then nothing is sent.
    bool send(std::string_view to, wire::frame_kind kind, wire::byte_view payload);

    bool connected(std::string_view name) const;
    // The life that this process states to its peers.
    incarnation life() const;
    // The bytes that wait to be written to a peer; 0 if it isn't connected.
    std::size_t queued_bytes(std::string_view name) const;
    // Returns the bytes that wait to be written to all peers.
    std::size_t total_queued_bytes() const;

    // Closes everything; no handler is called afterwards.
    void stop();

private:
    struct state;
    std::shared_ptr<state> self;
};

} // namespace bth::shell
