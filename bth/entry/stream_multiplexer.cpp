#include "bth/entry/stream_multiplexer.h"

#include <algorithm>

namespace bth::entry {

namespace {

namespace asio = boost::asio;

constexpr std::size_t max_body_frame_bytes = std::size_t{16} * 1024;
constexpr std::size_t window_update_threshold_bytes = wire::initial_window / 2;
// While more bytes than this are queued on the link to one peer, no body chunks are added.
constexpr std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::chrono::milliseconds congestion_poll_interval{1};

std::vector<std::pair<std::string, std::string>>
copy_of(const std::vector<wire::header_field>& fields)
{
    std::vector<std::pair<std::string, std::string>> out;
    out.reserve(fields.size());
    for (const wire::header_field& each : fields) {
        out.emplace_back(each.name, each.value);
    }
    return out;
}

received_body copy_of(wire::byte_view body, bool last)
{
    return {wire::bytes{body.begin(), body.end()}, last};
}

std::size_t body_size(const received_content& content)
{
    if (const auto* body = std::get_if<received_body>(&content)) {
        return body->body.size();
    }
    if (const auto* response = std::get_if<received_response>(&content)) {
        return response->first.body.size();
    }
    return 0;
}

} // namespace

stream_channel::stream_channel(std::shared_ptr<stream_multiplexer> streams, std::string peer,
                               std::uint64_t id, bool is_opener)
    : streams{std::move(streams)}, peer{std::move(peer)}, id{id}, is_opener{is_opener},
      state_changed{this->streams->executor}
{}

stream_channel::~stream_channel()
{
    this->cancel();
    this->streams->channels.erase({this->peer, this->id, this->is_opener});
}

asio::awaitable<std::optional<received_content>> stream_channel::receive()
{
    while (this->receive_queue.empty() && !this->broken) {
        co_await this->state_changed.wait();
    }
    if (this->receive_queue.empty()) {
        co_return std::nullopt;
    }
    received_content content = std::move(this->receive_queue.front());
    this->receive_queue.pop_front();
    this->credit_consumed(body_size(content));
    co_return content;
}

void stream_channel::credit_consumed(std::size_t size)
{
    this->consumed_bytes += size;
    if (this->consumed_bytes < window_update_threshold_bytes || this->received_last) {
        return;
    }
    this->uncredited_bytes -= this->consumed_bytes;
    this->send(wire::stream_window{static_cast<std::uint32_t>(this->consumed_bytes)});
    this->consumed_bytes = 0;
}

asio::awaitable<bool> stream_channel::send_body(wire::byte_view body, bool last)
{
    do {
        while (!body.empty() && this->send_credit == 0 && !this->broken) {
            co_await this->state_changed.wait();
        }
        while (!this->broken && this->streams->link->queued_bytes(this->peer) > max_queued_bytes) {
            asio::steady_timer pause{this->streams->executor, congestion_poll_interval};
            co_await pause.async_wait(asio::use_awaitable);
        }
        if (this->broken) {
            co_return false;
        }
        const std::size_t size = std::min({body.size(), this->send_credit, max_body_frame_bytes});
        const bool is_last_frame = last && size == body.size();
        this->send_credit -= size;
        if (!this->send(wire::stream_body{body.first(size), is_last_frame})) {
            this->fail();
            co_return false;
        }
        this->sent_last = is_last_frame;
        body = body.subspan(size);
    } while (!body.empty());
    co_return true;
}

bool stream_channel::send_answer(std::uint16_t status, std::vector<wire::header_field> fields,
                                 wire::byte_view body, bool last)
{
    this->send_credit -= std::min(this->send_credit, body.size());
    this->sent_last = last;
    return this->send(wire::stream_answer{status, std::move(fields), body, last});
}

bool stream_channel::send_refusal(const wire::stream_refusal& refusal)
{
    this->sent_last = true;
    return this->send(refusal);
}

void stream_channel::cancel()
{
    const bool ended = this->is_opener ? this->received_last : this->sent_last;
    if (!this->broken && !ended) {
        this->send(wire::stream_cancel{});
    }
    this->broken = true;
    this->state_changed.notify();
}

bool stream_channel::send(wire::stream_content content)
{
    if (this->broken) {
        return false;
    }
    const wire::bytes payload = wire::encode({this->id, this->is_opener, std::move(content)});
    return this->streams->link->send(this->peer, wire::frame_kind::stream, payload);
}

void stream_channel::fail()
{
    if (std::exchange(this->broken, true)) {
        return;
    }
    this->state_changed.notify();
    if (this->on_broken) {
        this->on_broken();
    }
}

bool stream_channel::charge_receive_window(wire::byte_view body)
{
    this->uncredited_bytes += body.size();
    return this->uncredited_bytes <= 2 * std::size_t{wire::initial_window};
}

bool stream_channel::handle_content(wire::stream_content& content)
{
    if (const auto* window = std::get_if<wire::stream_window>(&content)) {
        this->send_credit += window->bytes;
        this->state_changed.notify();
        return this->send_credit <= 2 * std::size_t{wire::initial_window};
    }
    if (std::holds_alternative<wire::stream_cancel>(content)) {
        this->fail();
        return true;
    }
    if (this->received_last) {
        return true;
    }
    if (const auto* body = std::get_if<wire::stream_body>(&content)) {
        this->received_last = body->last;
        this->receive_queue.emplace_back(copy_of(body->body, body->last));
        this->state_changed.notify();
        return this->charge_receive_window(body->body);
    }
    if (const auto* response = std::get_if<wire::stream_answer>(&content);
        response && this->is_opener) {
        this->received_last = response->last;
        this->receive_queue.emplace_back(received_response{
            response->status, copy_of(response->fields), copy_of(response->body, response->last)});
        this->state_changed.notify();
        return this->charge_receive_window(response->body);
    }
    if (const auto* refusal = std::get_if<wire::stream_refusal>(&content);
        refusal && this->is_opener) {
        this->received_last = true;
        this->receive_queue.emplace_back(*refusal);
        this->state_changed.notify();
        return true;
    }
    return false;
}

stream_multiplexer::stream_multiplexer(asio::any_io_executor executor,
                                       std::shared_ptr<shell::peer_link> link)
    : executor{std::move(executor)}, link{std::move(link)}
{}

void stream_multiplexer::start(open_handler handler)
{
    this->on_open = std::move(handler);
    this->link->on_frame(
        wire::frame_kind::stream,
        [weak = weak_from_this()](const shell::peer_identity& from, wire::byte_view payload) {
            const auto self = weak.lock();
            return self && self->receive(from, payload);
        });
    this->link->on_change([weak = weak_from_this()](const shell::peer_identity& peer,
                                                    bool connected, std::string_view) {
        const auto self = weak.lock();
        if (self && !connected) {
            self->handle_disconnect(peer.name);
        }
    });
}

std::shared_ptr<stream_channel> stream_multiplexer::open(const std::string& peer,
                                                         const wire::stream_open& request)
{
    auto channel =
        std::make_shared<stream_channel>(shared_from_this(), peer, this->next_id++, true);
    this->channels[{peer, channel->id, true}] = channel;
    channel->send_credit -= std::min(channel->send_credit, request.body.size());
    channel->sent_last = request.last;
    if (!channel->send(request)) {
        channel->broken = true;
        return nullptr;
    }
    return channel;
}

bool stream_multiplexer::receive(const shell::peer_identity& from, wire::byte_view payload)
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
    // A frame of a stream that has already ended on this side is ignored.
    const auto channel = found == this->channels.end() ? nullptr : found->second.lock();
    return !channel || channel->handle_content(frame->content);
}

bool stream_multiplexer::accept(const shell::peer_identity& from, std::uint64_t id,
                                const wire::stream_open& open)
{
    auto channel = std::make_shared<stream_channel>(shared_from_this(), from.name, id, false);
    this->channels[{from.name, id, false}] = channel;
    channel->received_last = open.last;
    if (!channel->charge_receive_window(open.body)) {
        return false;
    }
    // The first chunk goes to the handler with the request and never passes through receive().
    channel->consumed_bytes = open.body.size();
    received_request request;
    request.service = open.service;
    request.caller_class = open.caller_class;
    request.home = open.home;
    request.method = open.method;
    request.path = open.path;
    request.fields = copy_of(open.fields);
    request.timeout = open.timeout;
    request.repeatable = open.repeatable;
    request.hops = open.hops;
    request.retry = open.retry;
    request.first = copy_of(open.body, open.last);
    this->on_open(std::move(channel), std::move(request));
    return true;
}

void stream_multiplexer::handle_disconnect(const std::string& peer)
{
    std::vector<std::shared_ptr<stream_channel>> affected;
    for (auto at = this->channels.lower_bound({peer, 0, false});
         at != this->channels.end() && at->first.peer == peer; ++at) {
        if (auto channel = at->second.lock()) {
            affected.push_back(std::move(channel));
        }
    }
    for (const auto& each : affected) {
        each->fail();
    }
}

} // namespace bth::entry
