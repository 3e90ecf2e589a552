#include "bth/wire/frame.h"

#include "bth/wire/frame_generated.h"

#include <cstring>

namespace bth::wire {

namespace {

constexpr std::size_t prefix_bytes = sizeof(std::uint32_t);
constexpr std::size_t least_envelope_bytes = 12;
constexpr std::size_t payload_alignment = 8;
constexpr std::size_t envelope_allowance = 256;
// The memory that a reader keeps for the next frames.
constexpr std::size_t kept_bytes = std::size_t{64} * 1024;

bytes to_bytes(const flatbuffers::FlatBufferBuilder& builder)
{
    const std::uint8_t* start = builder.GetBufferPointer();
    return bytes{start, start + builder.GetSize()};
}

std::size_t read_prefix(byte_view from)
{
    return flatbuffers::ReadScalar<std::uint32_t>(from.data());
}

} // namespace

std::string_view to_string(frame_error error)
{
    constexpr std::array<std::string_view, 5> names{"too_short", "too_long", "damaged",
                                                    "wrong_version", "unknown_kind"};
    return names.at(static_cast<std::size_t>(error));
}

bytes encode_frame(frame_kind kind, byte_view payload)
{
    flatbuffers::FlatBufferBuilder builder{payload.size() + envelope_allowance};
    builder.ForceVectorAlignment(payload.size(), 1, payload_alignment);
    const auto content = builder.CreateVector(payload.data(), payload.size());
    const auto root = fbs::Createenvelope(builder, protocol_version,
                                          static_cast<fbs::frame_kind>(kind), 0, 0, content);
    fbs::FinishSizePrefixedenvelopeBuffer(builder, root);
    return to_bytes(builder);
}

bytes encode_hello(std::string_view sender, incarnation life)
{
    flatbuffers::FlatBufferBuilder builder{envelope_allowance};
    const auto name = builder.CreateString(sender.data(), sender.size());
    const auto root = fbs::Createenvelope(builder, protocol_version, fbs::frame_kind::hello, name,
                                          life.value(), 0);
    fbs::FinishSizePrefixedenvelopeBuffer(builder, root);
    return to_bytes(builder);
}

void frame_reader::append(byte_view more)
{
    this->pending.erase(this->pending.begin(),
                        this->pending.begin() + static_cast<std::ptrdiff_t>(this->consumed));
    this->consumed = 0;
    this->pending.insert(this->pending.end(), more.begin(), more.end());
}

void frame_reader::release_memory()
{
    const auto rest = byte_view{this->pending}.subspan(this->consumed);
    bytes{rest.begin(), rest.end()}.swap(this->pending);
    this->consumed = 0;
    std::vector<std::uint64_t>{}.swap(this->aligned);
}

tl::expected<std::optional<frame>, frame_error> frame_reader::next()
{
    if (this->held_bytes() > kept_bytes &&
        this->pending.size() - this->consumed <= kept_bytes / 2) {
        this->release_memory();
    }
    const byte_view rest = byte_view{this->pending}.subspan(this->consumed);
    if (rest.size() < prefix_bytes) {
        return std::nullopt;
    }
    const std::size_t length = read_prefix(rest);
    if (length < least_envelope_bytes) {
        return tl::unexpected{frame_error::too_short};
    }
    if (length > this->max_bytes - prefix_bytes) {
        return tl::unexpected{frame_error::too_long};
    }
    const std::size_t whole = prefix_bytes + length;
    if (rest.size() < whole) {
        return std::nullopt;
    }
    this->aligned.resize((whole + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::memcpy(this->aligned.data(), rest.data(), whole);
    this->consumed += whole;

    const auto* start = reinterpret_cast<const std::uint8_t*>(this->aligned.data());
    flatbuffers::Verifier verifier{start, whole};
    if (!fbs::VerifySizePrefixedenvelopeBuffer(verifier)) {
        return tl::unexpected{frame_error::damaged};
    }
    const fbs::envelope* envelope = fbs::GetSizePrefixedenvelope(start);
    if (envelope->version() != protocol_version) {
        return tl::unexpected{frame_error::wrong_version};
    }
    const auto kind = static_cast<std::uint8_t>(envelope->kind());
    if (kind >= frame_kind_count) {
        return tl::unexpected{frame_error::unknown_kind};
    }
    frame out;
    out.kind = static_cast<frame_kind>(kind);
    out.life = incarnation{envelope->life()};
    if (const auto* sender = envelope->sender()) {
        out.sender = std::string_view{sender->c_str(), sender->size()};
    }
    if (const auto* payload = envelope->payload()) {
        out.payload = byte_view{payload->data(), payload->size()};
    }
    return out;
}

} // namespace bth::wire
