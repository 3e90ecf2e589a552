#include "bth/wire/stream_codec.h"

#include "bth/wire/stream_generated.h"

#include <algorithm>

namespace bth::wire {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t head_allowance = 1024;
// Longer times than this are cut to it, so that no sum of times overflows.
constexpr std::uint64_t max_time_us = 3'600'000'000ULL;

struct encoded_content {
    fbs::stream_content type{};
    Offset<void> offset;
};

auto text(FlatBufferBuilder& builder, std::string_view value)
{
    return builder.CreateString(value.data(), value.size());
}

auto body_of(FlatBufferBuilder& builder, byte_view value)
{
    return builder.CreateVector(value.data(), value.size());
}

auto fields_of(FlatBufferBuilder& builder, const std::vector<header_field>& fields)
{
    std::vector<Offset<fbs::header_field>> rows;
    rows.reserve(fields.size());
    for (const header_field& each : fields) {
        const auto name = text(builder, each.name);
        const auto value = text(builder, each.value);
        rows.push_back(fbs::Createheader_field(builder, name, value));
    }
    return builder.CreateVector(rows);
}

std::uint64_t to_us(std::chrono::microseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

std::chrono::microseconds from_us(std::uint64_t time)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(std::min(time, max_time_us))};
}

// Encodes the content of a frame, by its type.
struct content_encoder {
    FlatBufferBuilder& builder;

    encoded_content operator()(const stream_open& in) const
    {
        const auto service = text(this->builder, in.service);
        const auto caller_class = text(this->builder, in.caller_class);
        const auto home = text(this->builder, in.home);
        const auto method = text(this->builder, in.method);
        const auto path = text(this->builder, in.path);
        const auto fields = fields_of(this->builder, in.fields);
        const auto body = body_of(this->builder, in.body);
        const auto table =
            fbs::Createopen(this->builder, service, caller_class, home, method, path, fields,
                            to_us(in.timeout), in.repeatable, in.hops, in.retry, body, in.last);
        return {fbs::stream_content::open, table.Union()};
    }
    encoded_content operator()(const stream_body& in) const
    {
        const auto body = body_of(this->builder, in.body);
        const auto table = fbs::Createbody_part(this->builder, body, in.last);
        return {fbs::stream_content::body_part, table.Union()};
    }
    encoded_content operator()(const stream_answer& in) const
    {
        const auto fields = fields_of(this->builder, in.fields);
        const auto body = body_of(this->builder, in.body);
        const auto table = fbs::Createanswer(this->builder, in.status, fields, body, in.last);
        return {fbs::stream_content::answer, table.Union()};
    }
    encoded_content operator()(const stream_refusal& in) const
    {
        const auto table =
            fbs::Createrefusal(this->builder, static_cast<std::uint8_t>(in.run),
                               static_cast<std::uint8_t>(in.reason), to_us(in.retry_after));
        return {fbs::stream_content::refusal, table.Union()};
    }
    encoded_content operator()(const stream_window& in) const
    {
        return {fbs::stream_content::window, fbs::Createwindow(this->builder, in.bytes).Union()};
    }
    encoded_content operator()(const stream_cancel&) const
    {
        return {fbs::stream_content::cancel, fbs::Createcancel(this->builder).Union()};
    }
};

std::size_t size_hint(const stream_content& content)
{
    std::size_t body = 0;
    if (const auto* open = std::get_if<stream_open>(&content)) {
        body = open->body.size();
    }
    if (const auto* part = std::get_if<stream_body>(&content)) {
        body = part->body.size();
    }
    if (const auto* answer = std::get_if<stream_answer>(&content)) {
        body = answer->body.size();
    }
    return body + head_allowance;
}

std::string_view view(const flatbuffers::String* value)
{
    return {value->c_str(), value->size()};
}

byte_view view(const flatbuffers::Vector<std::uint8_t>* value)
{
    return value == nullptr ? byte_view{} : byte_view{value->data(), value->size()};
}

std::vector<header_field> read_fields(const flatbuffers::Vector<Offset<fbs::header_field>>* fields)
{
    std::vector<header_field> out;
    if (fields == nullptr) {
        return out;
    }
    out.reserve(fields->size());
    for (const fbs::header_field* each : *fields) {
        out.push_back({view(each->name()), view(each->value())});
    }
    return out;
}

std::optional<stream_content> read_refusal(const fbs::refusal& in)
{
    if (in.reason() >= refusal_reason_count ||
        in.run() > static_cast<std::uint8_t>(run_state::unknown)) {
        return std::nullopt;
    }
    return stream_refusal{static_cast<run_state>(in.run()),
                          static_cast<refusal_reason>(in.reason()), from_us(in.retry_after_us())};
}

std::optional<stream_content> read_answer(const fbs::answer& in)
{
    constexpr std::uint16_t least_final_status = 200;
    constexpr std::uint16_t most_status = 599;
    if (in.status() < least_final_status || in.status() > most_status) {
        return std::nullopt;
    }
    return stream_answer{in.status(), read_fields(in.fields()), view(in.body()), in.last()};
}

stream_content read_open(const fbs::open& in)
{
    stream_open out;
    out.service = view(in.service());
    out.caller_class = view(in.caller_class());
    out.home = view(in.home());
    out.method = view(in.method());
    out.path = view(in.path());
    out.fields = read_fields(in.fields());
    out.timeout = from_us(in.timeout_us());
    out.repeatable = in.repeatable();
    out.hops = in.hops();
    out.retry = in.retry();
    out.body = view(in.body());
    out.last = in.last();
    return out;
}

std::optional<stream_content> read_content(const fbs::stream_frame& frame)
{
    switch (frame.content_type()) {
    case fbs::stream_content::open:
        return read_open(*frame.content_as_open());
    case fbs::stream_content::body_part: {
        const fbs::body_part* part = frame.content_as_body_part();
        return stream_body{view(part->body()), part->last()};
    }
    case fbs::stream_content::answer:
        return read_answer(*frame.content_as_answer());
    case fbs::stream_content::refusal:
        return read_refusal(*frame.content_as_refusal());
    case fbs::stream_content::window:
        return stream_window{frame.content_as_window()->bytes()};
    case fbs::stream_content::cancel:
        return stream_cancel{};
    case fbs::stream_content::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

bytes encode(const stream_frame& frame)
{
    FlatBufferBuilder builder{size_hint(frame.content)};
    const encoded_content content = std::visit(content_encoder{builder}, frame.content);
    const auto root = fbs::Createstream_frame(builder, frame.stream, frame.from_opener,
                                              content.type, content.offset);
    fbs::Finishstream_frameBuffer(builder, root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<stream_frame> decode_stream(byte_view payload)
{
    flatbuffers::Verifier verifier{payload.data(), payload.size()};
    if (payload.empty() || !fbs::Verifystream_frameBuffer(verifier)) {
        return std::nullopt;
    }
    const fbs::stream_frame* frame = fbs::Getstream_frame(payload.data());
    if (frame->content() == nullptr) {
        return std::nullopt;
    }
    auto content = read_content(*frame);
    if (!content) {
        return std::nullopt;
    }
    return stream_frame{frame->stream(), frame->from_opener(), std::move(*content)};
}

} // namespace bth::wire
