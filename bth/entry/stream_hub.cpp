#include "bth/entry/stream_hub.h"

#include <algorithm>

namespace bth::entry {

namespace {

namespace asio = boost::asio;

constexpr std::size_t body_part_bytes = std::size_t{16} * 1024;
constexpr std::size_t window_step = wire::initial_window / 2;
// Above so many bytes that wait for one peer, bodies wait too.
constexpr std::size_t congested_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::chrono::milliseconds congestion_pause{1};

std::vector<std::pair<std::string, std::string>>
owned(const std::vector<wire::header_field>& fields)
{
    std::vector<std::pair<std::string, std::string>> out;
    out.reserve(fields.size());
    for (const wire::header_field& each : fields) {
        out.emplace_back(each.name, each.value);
    }
    return out;
}

received_body owned(wire::byte_view body, bool last)
{
    return {wire::bytes{body.begin(), body.end()}, last};
}

std::size_t body_size(const received_part& part)
{
    if (const auto* body = std::get_if<received_body>(&part)) {
        return body->body.size();
    }
    if (const auto* answer = std::get_if<received_answer>(&part)) {
        return answer->first.body.size();
    }
    return 0;
}

} // namespace

stream_channel::stream_channel(std::shared_ptr<stream_hub> hub, std::string peer, std::uint64_t id,
                               bool is_opener)
    : hub{std::move(hub)}, peer{std::move(peer)}, id{id}, is_opener{is_opener},
      changed{this->hub->executor}
{}

stream_channel::~stream_channel()
{
    this->cancel();
    this->hub->channels.erase({this->peer, this->id, this->is_opener});
}

asio::awaitable<std::optional<received_part>> stream_channel::receive()
{
    while (this->inbox.empty() && !this->broken) {
        co_await this->changed.wait();
    }
    if (this->inbox.empty()) {
        co_return std::nullopt;
    }
    received_part part = std::move(this->inbox.front());
    this->inbox.pop_front();
    this->account(body_size(part));
    co_return part;
}

void stream_channel::account(std::size_t size)
{
    this->consumed += size;
    if (this->consumed < window_step || this->got_end) {
        return;
    }
    this->unreturned -= this->consumed;
    this->send(wire::stream_window{static_cast<std::uint32_t>(this->consumed)});
    this->consumed = 0;
}

asio::awaitable<bool> stream_channel::send_body(wire::byte_view body, bool last)
{
    do {
        while (!body.empty() && this->send_credit == 0 && !this->broken) {
            co_await this->changed.wait();
        }
        while (!this->broken && this->hub->link->queued_bytes(this->peer) > congested_bytes) {
            asio::steady_timer pause{this->hub->executor, congestion_pause};
            co_await pause.async_wait(asio::use_awaitable);
        }
        if (this->broken) {
            co_return false;
        }
        const std::size_t size = std::min({body.size(), this->send_credit, body_part_bytes});
        const bool ends = last && size == body.size();
        this->send_credit -= size;
        if (!this->send(wire::stream_body{body.first(size), ends})) {
            this->fail();
            co_return false;
        }
        this->sent_end = ends;
        body = body.subspan(size);
    } while (!body.empty());
    co_return true;
}

bool stream_channel::send_answer(std::uint16_t status, std::vector<wire::header_field> fields,
                                 wire::byte_view body, bool last)
{
    this->send_credit -= std::min(this->send_credit, body.size());
    this->sent_end = last;
    return this->send(wire::stream_answer{status, std::move(fields), body, last});
}

bool stream_channel::send_refusal(const wire::stream_refusal& refusal)
{
    this->sent_end = true;
    return this->send(refusal);
}

void stream_channel::cancel()
{
    const bool ended = this->is_opener ? this->got_end : this->sent_end;
    if (!this->broken && !ended) {
        this->send(wire::stream_cancel{});
    }
    this->broken = true;
    this->changed.notify();
}

bool stream_channel::send(wire::stream_content content)
{
    if (this->broken) {
        return false;
    }
    const wire::bytes payload = wire::encode({this->id, this->is_opener, std::move(content)});
    return this->hub->link->send(this->peer, wire::frame_kind::stream, payload);
}

void stream_channel::fail()
{
    if (std::exchange(this->broken, true)) {
        return;
    }
    this->changed.notify();
    if (this->on_broken) {
        this->on_broken();
    }
}

bool stream_channel::take_body(wire::byte_view body)
{
    this->unreturned += body.size();
    return this->unreturned <= 2 * std::size_t{wire::initial_window};
}

bool stream_channel::take(wire::stream_content& content)
{
    if (const auto* window = std::get_if<wire::stream_window>(&content)) {
        this->send_credit += window->bytes;
        this->changed.notify();
        return this->send_credit <= 2 * std::size_t{wire::initial_window};
    }
    if (std::holds_alternative<wire::stream_cancel>(content)) {
        this->fail();
        return true;
    }
    if (this->got_end) {
        return true;
    }
    if (const auto* body = std::get_if<wire::stream_body>(&content)) {
        this->got_end = body->last;
        this->inbox.emplace_back(owned(body->body, body->last));
        this->changed.notify();
        return this->take_body(body->body);
    }
    if (const auto* answer = std::get_if<wire::stream_answer>(&content);
        answer && this->is_opener) {
        this->got_end = answer->last;
        this->inbox.emplace_back(received_answer{answer->status, owned(answer->fields),
                                                 owned(answer->body, answer->last)});
        this->changed.notify();
        return this->take_body(answer->body);
    }
    if (const auto* refusal = std::get_if<wire::stream_refusal>(&content);
        refusal && this->is_opener) {
        this->got_end = true;
        this->inbox.emplace_back(*refusal);
        this->changed.notify();
        return true;
    }
    return false;
}

stream_hub::stream_hub(asio::any_io_executor executor, std::shared_ptr<shell::peer_link> link)
    : executor{std::move(executor)}, link{std::move(link)}
{}

void stream_hub::start(open_handler handler)
{
    this->on_open = std::move(handler);
    this->link->on_frame(
        wire::frame_kind::stream,
        [weak = weak_from_this()](const shell::peer_identity& from, wire::byte_view payload) {
            const auto hub = weak.lock();
            return hub && hub->receive(from, payload);
        });
    this->link->on_change(
        [weak = weak_from_this()](const shell::peer_identity& peer, bool connected) {
            const auto hub = weak.lock();
            if (hub && !connected) {
                hub->lost(peer.name);
            }
        });
}

std::shared_ptr<stream_channel> stream_hub::open(const std::string& peer,
                                                 const wire::stream_open& request)
{
    auto channel =
        std::make_shared<stream_channel>(shared_from_this(), peer, this->next_id++, true);
    this->channels[{peer, channel->id, true}] = channel;
    channel->send_credit -= std::min(channel->send_credit, request.body.size());
    channel->sent_end = request.last;
    if (!channel->send(request)) {
        channel->broken = true;
        return nullptr;
    }
    return channel;
}

bool stream_hub::receive(const shell::peer_identity& from, wire::byte_view payload)
{
    auto frame = wire::decode_stream(payload);
    if (!frame) {
        return false;
    }
    const auto found = this->channels.find({from.name, frame->stream, !frame->from_opener});
    if (const auto* open = std::get_if<wire::stream_open>(&frame->content)) {
        return frame->from_opener && found == this->channels.end() &&
               this->accept(from, frame->stream, *open);
    }
    // A part of a stream that ended here meanwhile is of no use.
    const auto channel = found == this->channels.end() ? nullptr : found->second.lock();
    return !channel || channel->take(frame->content);
}

bool stream_hub::accept(const shell::peer_identity& from, std::uint64_t id,
                        const wire::stream_open& open)
{
    auto channel = std::make_shared<stream_channel>(shared_from_this(), from.name, id, false);
    this->channels[{from.name, id, false}] = channel;
    channel->got_end = open.last;
    if (!channel->take_body(open.body)) {
        return false;
    }
    channel->consumed = open.body.size();
    received_open request;
    request.service = open.service;
    request.caller_class = open.caller_class;
    request.home = open.home;
    request.method = open.method;
    request.path = open.path;
    request.fields = owned(open.fields);
    request.timeout = open.timeout;
    request.repeatable = open.repeatable;
    request.hops = open.hops;
    request.retry = open.retry;
    request.first = owned(open.body, open.last);
    this->on_open(std::move(channel), std::move(request));
    return true;
}

void stream_hub::lost(const std::string& peer)
{
    std::vector<std::shared_ptr<stream_channel>> gone;
    for (auto at = this->channels.lower_bound({peer, 0, false});
         at != this->channels.end() && at->first.peer == peer; ++at) {
        if (auto channel = at->second.lock()) {
            gone.push_back(std::move(channel));
        }
    }
    for (const auto& each : gone) {
        each->fail();
    }
}

} // namespace bth::entry
