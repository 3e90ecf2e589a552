#include "bth/membership/internal/message_generated.h"
#include "bth/membership/messages.h"

#include <cstddef>

namespace bth::membership {

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;
using string_offset = flatbuffers::Offset<flatbuffers::String>;
using body_offset = flatbuffers::Offset<void>;

constexpr std::uint8_t most_block_length = 32;

wire::config_mark to_wire(const config_mark& mark)
{
    return {mark.at.value(), mark.digest.value()};
}

config_mark from_wire(const wire::config_mark& mark)
{
    return {revision{mark.at()}, config::table_digest{mark.digest()}};
}

// An empty string takes no bytes.
string_offset to_wire(builder_type& builder, const std::string& text)
{
    return text.empty() ? string_offset{} : builder.CreateString(text);
}

std::string from_wire(const flatbuffers::String* text)
{
    return text == nullptr ? std::string{} : text->str();
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> to_wire(builder_type& builder,
                                                               const shared_bytes& bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes->data()),
                                bytes->size());
}

shared_bytes from_wire(const flatbuffers::Vector<std::uint8_t>& bytes)
{
    return std::make_shared<const std::string>(reinterpret_cast<const char*>(bytes.data()),
                                               bytes.size());
}

flatbuffers::Offset<wire::cursor> to_wire(builder_type& builder,
                                          const std::optional<config::snapshot_cursor>& cursor)
{
    if (!cursor) {
        return 0;
    }
    const string_offset name = to_wire(builder, cursor->entry.name);
    return wire::Createcursor(builder, cursor->in_blocks, cursor->started,
                              static_cast<std::uint8_t>(cursor->entry.part), name,
                              cursor->block.address.bits, cursor->block.length);
}

// False for a cursor that names no place.
bool from_wire(const wire::cursor* from, std::optional<config::snapshot_cursor>& to)
{
    if (from == nullptr) {
        return true;
    }
    if (from->section() >= config::section_count || from->length() > most_block_length) {
        return false;
    }
    to = config::snapshot_cursor{
        from->in_blocks(),
        from->started(),
        {static_cast<config::section>(from->section()), from_wire(from->name())},
        {ipv4_address{from->address()}, from->length()}};
    return true;
}

body_offset to_body(builder_type& builder, const probe_message& what)
{
    std::vector<flatbuffers::Offset<wire::news_item>> news;
    for (const news_item& item : what.news) {
        const string_offset host = builder.CreateString(item.host);
        news.push_back(wire::Createnews_item(builder, host, item.life.value(), item.refutation,
                                             static_cast<std::uint8_t>(item.state)));
    }
    const auto news_list = news.empty() ? 0 : builder.CreateVector(news);
    const string_offset subject = to_wire(builder, what.subject);
    const string_offset relay = to_wire(builder, what.stamp.relay);
    const wire::config_mark mark = to_wire(what.stamp.in_force);
    return wire::Createprobe(builder, static_cast<std::uint8_t>(what.kind), what.sequence, subject,
                             &mark, relay,
                             static_cast<std::uint32_t>(what.stamp.control_age.count()), news_list)
        .Union();
}

body_offset to_body(builder_type& builder, const delta_push& what)
{
    const auto bytes = to_wire(builder, what.delta);
    const string_offset relay = to_wire(builder, what.relay);
    return wire::Createdelta_push(builder, relay, bytes).Union();
}

body_offset to_body(builder_type& builder, const pull& what)
{
    const auto cursor = to_wire(builder, what.cursor);
    return wire::Createpull(builder, what.have.value(), cursor).Union();
}

body_offset to_body(builder_type& builder, const pull_answer& what)
{
    std::vector<flatbuffers::Offset<wire::bytes>> deltas;
    for (const shared_bytes& delta : what.deltas) {
        deltas.push_back(wire::Createbytes(builder, to_wire(builder, delta)));
    }
    const auto delta_list = deltas.empty() ? 0 : builder.CreateVector(deltas);
    flatbuffers::Offset<wire::bytes> part;
    flatbuffers::Offset<wire::cursor> next;
    if (what.part) {
        part = wire::Createbytes(builder, to_wire(builder, what.part->content));
        next = to_wire(builder, what.part->next);
    }
    const wire::config_mark mark = to_wire(what.at);
    return wire::Createpull_answer(builder, &mark, delta_list, part, next).Union();
}

body_offset to_body(builder_type& builder, const confirm& what)
{
    return wire::Createconfirm(builder, what.in_force.value()).Union();
}

body_offset to_body(builder_type& builder, const confirm_answer& what)
{
    return wire::Createconfirm_answer(builder, what.in_force.value()).Union();
}

body_offset to_body(builder_type& builder, const control_heartbeat& what)
{
    const string_offset relay = to_wire(builder, what.relay);
    const wire::config_mark mark = to_wire(what.accepted);
    return wire::Createcontrol_heartbeat(builder, &mark, relay).Union();
}

body_offset to_body(builder_type& builder, const domain_summary& what)
{
    std::vector<string_offset> names;
    for (const std::string& name : what.unconfirmed) {
        names.push_back(builder.CreateString(name));
    }
    const auto name_list = names.empty() ? 0 : builder.CreateVector(names);
    return wire::Createdomain_summary(builder, what.in_force.value(), what.unconfirmed_count,
                                      name_list)
        .Union();
}

std::optional<message> from_body(const wire::probe& from)
{
    if (from.kind() > static_cast<std::uint8_t>(probe_kind::indirect_answer)) {
        return std::nullopt;
    }
    probe_message to;
    to.kind = static_cast<probe_kind>(from.kind());
    to.sequence = from.sequence();
    to.subject = from_wire(from.subject());
    to.stamp.in_force = from_wire(*from.in_force());
    to.stamp.relay = from_wire(from.relay());
    to.stamp.control_age = std::chrono::milliseconds{from.control_age_ms()};
    if (from.news() == nullptr) {
        return to;
    }
    for (const wire::news_item* item : *from.news()) {
        if (item->state() > static_cast<std::uint8_t>(liveness::dead)) {
            return std::nullopt;
        }
        to.news.push_back({item->host()->str(), incarnation{item->life()}, item->refutation(),
                           static_cast<liveness>(item->state())});
    }
    return to;
}

std::optional<message> from_body(const wire::delta_push& from)
{
    return delta_push{from_wire(from.relay()), from_wire(*from.bytes())};
}

std::optional<message> from_body(const wire::pull& from)
{
    pull to{revision{from.have()}, {}};
    return from_wire(from.behind(), to.cursor) ? std::optional<message>{to} : std::nullopt;
}

std::optional<message> from_body(const wire::pull_answer& from)
{
    pull_answer to;
    to.at = from_wire(*from.at());
    if (from.deltas() != nullptr) {
        for (const wire::bytes* delta : *from.deltas()) {
            to.deltas.push_back(from_wire(*delta->data()));
        }
    }
    if (from.part() == nullptr) {
        return to;
    }
    to.part = snapshot_part{from_wire(*from.part()->data()), {}};
    return from_wire(from.next(), to.part->next) ? std::optional<message>{to} : std::nullopt;
}

std::optional<message> from_body(const wire::confirm& from)
{
    return confirm{revision{from.in_force()}};
}

std::optional<message> from_body(const wire::confirm_answer& from)
{
    return confirm_answer{revision{from.in_force()}};
}

std::optional<message> from_body(const wire::control_heartbeat& from)
{
    return control_heartbeat{from_wire(*from.accepted()), from_wire(from.relay())};
}

std::optional<message> from_body(const wire::domain_summary& from)
{
    domain_summary to{revision{from.in_force()}, from.unconfirmed_count(), {}};
    if (from.unconfirmed() != nullptr) {
        for (const flatbuffers::String* name : *from.unconfirmed()) {
            to.unconfirmed.push_back(from_wire(name));
        }
    }
    return to;
}

std::optional<message> from_message(const wire::message& from)
{
    switch (from.content_type()) {
    case wire::body::probe:
        return from_body(*from.content_as_probe());
    case wire::body::delta_push:
        return from_body(*from.content_as_delta_push());
    case wire::body::pull:
        return from_body(*from.content_as_pull());
    case wire::body::pull_answer:
        return from_body(*from.content_as_pull_answer());
    case wire::body::confirm:
        return from_body(*from.content_as_confirm());
    case wire::body::confirm_answer:
        return from_body(*from.content_as_confirm_answer());
    case wire::body::control_heartbeat:
        return from_body(*from.content_as_control_heartbeat());
    case wire::body::domain_summary:
        return from_body(*from.content_as_domain_summary());
    case wire::body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const message& what)
{
    builder_type builder;
    const body_offset body =
        std::visit([&](const auto& each) { return to_body(builder, each); }, what);
    // The alternatives of message and of the union stand in the same order.
    const auto kind = static_cast<wire::body>(what.index() + 1);
    builder.Finish(wire::Createmessage(builder, kind, body));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<message> decode_message(std::string_view bytes)
{
    const std::string aligned{bytes};
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier{data, aligned.size()};
    if (!wire::VerifymessageBuffer(verifier)) {
        return std::nullopt;
    }
    return from_message(*wire::Getmessage(data));
}

} // namespace bth::membership
