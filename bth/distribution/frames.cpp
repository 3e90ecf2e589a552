#include "bth/distribution/internal/frames.h"

#include <string>

namespace bth::distribution::internal {

std::size_t send(shell::peer_link& link, const membership::send_message& what)
{
    const bool probe = std::holds_alternative<membership::probe_message>(what.what);
    const auto kind = probe ? wire::frame_kind::membership : wire::frame_kind::distribution;
    const std::string bytes = membership::encode(what.what);
    const bool sent = link.send(
        what.to, kind, {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    return sent ? bytes.size() : 0;
}

std::optional<membership::message> decode(wire::byte_view payload)
{
    return membership::decode_message(
        {reinterpret_cast<const char*>(payload.data()), payload.size()});
}

} // namespace bth::distribution::internal
