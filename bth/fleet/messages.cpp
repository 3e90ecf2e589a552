#include "bth/fleet/messages.h"

#include "bth/fleet/compression.h"
#include "bth/fleet/internal/fleet_generated.h"

#include <algorithm>
#include <climits>
#include <memory>
#include <utility>

namespace bth::fleet {

namespace {

// The first byte of a message tells whether the rest is deflated. Configurations and lists are;
// typical reports and updates are too short to gain from it.
constexpr char plain_marker = 'p';
constexpr char deflated_marker = 'd';
// Marks an update in two parts: the size of the shared part, that part, and the recipient's own.
constexpr char parts_marker = 's';
constexpr std::size_t part_size_bytes = 4;
constexpr std::size_t min_deflated_bytes = 600;
constexpr std::size_t max_inflated_bytes = std::size_t{64} * 1024 * 1024;

std::uint32_t to_ms(duration time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, UINT32_MAX));
}

duration from_ms(std::uint32_t ms)
{
    return std::chrono::milliseconds{ms};
}

frames::TargetT pack(const dispatch::target_info& from)
{
    frames::TargetT out;
    out.id = from.id;
    out.service = from.service;
    out.address = from.target_endpoint.address.bits;
    out.port = from.target_endpoint.port;
    out.domain = from.domain;
    out.slots = static_cast<std::uint16_t>(std::min<std::uint32_t>(from.slots, UINT16_MAX));
    out.draining = from.draining;
    out.cold_ms = to_ms(from.remaining_cold_time);
    return out;
}

dispatch::target_info unpack(const frames::TargetT& from)
{
    return {from.id,
            from.service,
            {ipv4_address{from.address}, from.port},
            from.domain,
            from.slots,
            from.draining,
            from_ms(from.cold_ms)};
}

frames::EntryHostT pack(const entry_host& from)
{
    frames::EntryHostT out;
    out.name = from.name;
    out.address = from.caller_endpoint.address.bits;
    out.port = from.caller_endpoint.port;
    out.domain = from.domain;
    out.ready = from.ready;
    out.age_ms = to_ms(from.age);
    out.cut_off = !from.reaches_targets;
    return out;
}

entry_host unpack(const frames::EntryHostT& from)
{
    return {from.name,
            {ipv4_address{from.address}, from.port},
            from.domain,
            from.ready,
            from_ms(from.age_ms),
            !from.cut_off};
}

frames::ControlHostT pack(const control_host_info& from)
{
    frames::ControlHostT out;
    out.name = from.name;
    out.domain = from.domain;
    return out;
}

control_host_info unpack(const frames::ControlHostT& from)
{
    return {from.name, from.domain};
}

frames::RelayHostT pack(const relay_host& from)
{
    frames::RelayHostT out;
    out.name = from.name;
    out.domain = from.domain;
    return out;
}

relay_host unpack(const frames::RelayHostT& from)
{
    return {from.name, from.domain};
}

template <class Packed, class Plain>
std::vector<std::unique_ptr<Packed>> pack_all(const std::vector<Plain>& rows)
{
    std::vector<std::unique_ptr<Packed>> out;
    out.reserve(rows.size());
    for (const auto& each : rows) {
        out.push_back(std::make_unique<Packed>(pack(each)));
    }
    return out;
}

template <class Plain, class Packed>
std::vector<Plain> unpack_all(const std::vector<std::unique_ptr<Packed>>& rows)
{
    std::vector<Plain> out;
    out.reserve(rows.size());
    for (const auto& each : rows) {
        if (each != nullptr) {
            out.push_back(unpack(*each));
        }
    }
    return out;
}

// Writes the news into a frame, which has a vector of each kind.
template <class Frame>
void pack_news(const dispatch::crash_news& news, Frame& out)
{
    for (const auto& each : news.crashes) {
        out.crashes.emplace_back(each.request.value(), each.target.value(), each.service.value(),
                                 to_ms(each.age));
    }
    for (const auto& each : news.completions) {
        out.completions.emplace_back(each.request.value(), to_ms(each.age));
    }
}

duration from_long_ms(std::uint64_t ms)
{
    return from_ms(static_cast<std::uint32_t>(std::min<std::uint64_t>(ms, UINT32_MAX)));
}

template <class Frame>
dispatch::crash_news unpack_news(const Frame& from)
{
    dispatch::crash_news out;
    for (const auto& each : from.crashes) {
        out.crashes.push_back({dispatch::request_fingerprint{each.request()},
                               dispatch::target_key{each.target()},
                               dispatch::service_key{each.service()}, from_long_ms(each.age_ms())});
    }
    for (const auto& each : from.completions) {
        out.completions.push_back(
            {dispatch::request_fingerprint{each.request()}, from_long_ms(each.age_ms())});
    }
    return out;
}

std::vector<frames::CustomerUsage> pack_usage(const std::vector<dispatch::customer_usage>& usage)
{
    std::vector<frames::CustomerUsage> out;
    out.reserve(usage.size());
    for (const auto& each : usage) {
        out.emplace_back(each.customer.value(), each.offered, each.admitted);
    }
    return out;
}

std::vector<dispatch::customer_usage> unpack_usage(const std::vector<frames::CustomerUsage>& usage)
{
    std::vector<dispatch::customer_usage> out;
    out.reserve(usage.size());
    for (const auto& each : usage) {
        out.push_back({dispatch::customer_key{each.customer()}, each.offered(), each.admitted()});
    }
    return out;
}

std::vector<frames::TargetLoad> pack_loads(const std::vector<dispatch::told_load>& loads)
{
    std::vector<frames::TargetLoad> out;
    out.reserve(loads.size());
    for (const auto& each : loads) {
        out.emplace_back(each.target.value(), each.requests, to_ms(each.age));
    }
    return out;
}

std::vector<dispatch::told_load> unpack_loads(const std::vector<frames::TargetLoad>& loads)
{
    std::vector<dispatch::told_load> out;
    out.reserve(loads.size());
    for (const auto& each : loads) {
        out.push_back(
            {dispatch::target_key{each.target()}, each.requests(), from_ms(each.age_ms())});
    }
    return out;
}

frames::ReportT pack(const report& from)
{
    frames::ReportT out;
    out.host = std::make_unique<frames::EntryHostT>(pack(from.host));
    out.version = from.version.value();
    out.agreed_index = from.index.value();
    out.targets_revision = from.targets.value();
    out.serving_life = from.control_incarnation.value();
    out.stays = from.stays;
    pack_news(from.crashes, out);
    out.usage = pack_usage(from.usage);
    out.loads = pack_loads(from.loads);
    return out;
}

std::optional<message> unpack(const frames::ReportT& from)
{
    if (from.host == nullptr) {
        return std::nullopt;
    }
    return report{unpack(*from.host),
                  route::config_version{from.version},
                  agreed_index{from.agreed_index},
                  catalog_revision{from.targets_revision},
                  incarnation{from.serving_life},
                  from.stays,
                  unpack_news(from),
                  unpack_usage(from.usage),
                  unpack_loads(from.loads)};
}

frames::UpdateT pack(const update& from)
{
    frames::UpdateT out;
    out.life = from.incarnation_number.value();
    out.in_contact = from.in_contact;
    out.version = from.version.value();
    out.agreed_index = from.index.value();
    out.text = from.text;
    out.has_evacuated = from.evacuated.has_value();
    if (from.evacuated) {
        out.evacuated.assign(from.evacuated->begin(), from.evacuated->end());
    }
    out.targets_whole = from.targets.is_full;
    out.targets_revision = from.targets.revision.value();
    out.targets = pack_all<frames::TargetT>(from.targets.changed);
    out.removed = from.targets.removed;
    out.control_hosts = pack_all<frames::ControlHostT>(from.control_hosts);
    out.entry_count = from.entry_count;
    out.entry_rank = from.entry_rank;
    out.has_entry_hosts = from.entry_hosts.has_value();
    if (from.entry_hosts) {
        out.entry_hosts = pack_all<frames::EntryHostT>(*from.entry_hosts);
    }
    out.state_is_current = from.state_is_current;
    out.relay_hosts = pack_all<frames::RelayHostT>(from.relay_hosts);
    pack_news(from.crashes, out);
    out.loads = pack_loads(from.loads);
    out.has_pressures = from.pressures.has_value();
    if (from.pressures) {
        for (const auto& each : *from.pressures) {
            out.pressures.emplace_back(each.customer.value(), each.demand, each.usable);
        }
    }
    return out;
}

std::optional<message> unpack(const frames::UpdateT& from)
{
    update out;
    out.incarnation_number = incarnation{from.life};
    out.in_contact = from.in_contact;
    out.version = route::config_version{from.version};
    out.index = agreed_index{from.agreed_index};
    out.text = from.text;
    if (from.has_evacuated) {
        out.evacuated.emplace(from.evacuated.begin(), from.evacuated.end());
    }
    out.targets = {from.targets_whole, catalog_revision{from.targets_revision},
                   unpack_all<dispatch::target_info>(from.targets), from.removed};
    out.control_hosts = unpack_all<control_host_info>(from.control_hosts);
    out.entry_count = from.entry_count;
    out.entry_rank = from.entry_rank;
    if (from.has_entry_hosts) {
        out.entry_hosts = unpack_all<entry_host>(from.entry_hosts);
    }
    out.state_is_current = from.state_is_current;
    out.relay_hosts = unpack_all<relay_host>(from.relay_hosts);
    out.crashes = unpack_news(from);
    out.loads = unpack_loads(from.loads);
    if (from.has_pressures) {
        out.pressures.emplace();
        for (const auto& each : from.pressures) {
            out.pressures->push_back(
                {dispatch::customer_key{each.customer()}, each.demand(), each.usable()});
        }
    }
    return out;
}

frames::RelayT pack(const relay& from)
{
    frames::RelayT out;
    out.host = std::make_unique<frames::ControlHostT>(pack(from.host));
    out.entry_hosts = pack_all<frames::EntryHostT>(from.entry_hosts);
    out.list_age_ms = to_ms(from.list_age);
    out.list_digest = from.list_digest;
    out.has_list = from.list.has_value();
    if (from.list) {
        out.list = pack_all<frames::TargetT>(*from.list);
    }
    out.agreed_index = from.index.value();
    pack_news(from.crashes, out);
    out.usage = pack_usage(from.usage);
    out.loads = pack_loads(from.loads);
    return out;
}

std::optional<message> unpack(const frames::RelayT& from)
{
    if (from.host == nullptr) {
        return std::nullopt;
    }
    relay out;
    out.host = unpack(*from.host);
    out.entry_hosts = unpack_all<entry_host>(from.entry_hosts);
    out.list_age = from_ms(from.list_age_ms);
    out.list_digest = from.list_digest;
    if (from.has_list) {
        out.list = unpack_all<dispatch::target_info>(from.list);
    }
    out.index = agreed_index{from.agreed_index};
    out.crashes = unpack_news(from);
    out.usage = unpack_usage(from.usage);
    out.loads = unpack_loads(from.loads);
    return out;
}

frames::CommandT pack(const set_configuration& from)
{
    frames::CommandT out;
    out.kind = frames::CommandKind::Configure;
    out.version = from.version.value();
    out.text = from.text;
    return out;
}

frames::CommandT pack(const set_evacuation& from)
{
    frames::CommandT out;
    out.kind = from.evacuated ? frames::CommandKind::Evacuate : frames::CommandKind::Restore;
    out.text = from.domain;
    return out;
}

std::optional<message> unpack(const frames::CommandT& from)
{
    if (from.kind == frames::CommandKind::Configure) {
        return set_configuration{route::config_version{from.version}, from.text};
    }
    return set_evacuation{from.text, from.kind == frames::CommandKind::Evacuate};
}

frames::AgreedT pack(const agreed_state& from)
{
    frames::AgreedT out;
    out.version = from.version.value();
    out.text = from.text;
    out.evacuated.assign(from.evacuated.begin(), from.evacuated.end());
    out.index = from.index.value();
    return out;
}

std::optional<message> unpack(const frames::AgreedT& from)
{
    return agreed_state{route::config_version{from.version},
                        from.text,
                        {from.evacuated.begin(), from.evacuated.end()},
                        agreed_index{from.index}};
}

std::optional<message> decode_plain(std::string_view bytes)
{
    // FlatBuffers reads scalars in place, which needs an aligned buffer.
    std::vector<std::uint64_t> aligned((bytes.size() + sizeof(std::uint64_t) - 1) /
                                       sizeof(std::uint64_t));
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(aligned.data()));
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier{data, bytes.size()};
    if (!frames::VerifyFrameBuffer(verifier)) {
        return std::nullopt;
    }
    const std::unique_ptr<frames::FrameT> frame{frames::GetFrame(data)->UnPack()};
    if (const auto* each = frame->body.AsReport()) {
        return unpack(*each);
    }
    if (const auto* each = frame->body.AsUpdate()) {
        return unpack(*each);
    }
    if (const auto* each = frame->body.AsRelay()) {
        return unpack(*each);
    }
    if (const auto* each = frame->body.AsCommand()) {
        return unpack(*each);
    }
    if (const auto* each = frame->body.AsAgreed()) {
        return unpack(*each);
    }
    return std::nullopt;
}

// Decodes one part of an update, which isn't made of parts itself.
std::optional<update> decode_part(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() == parts_marker) {
        return std::nullopt;
    }
    auto decoded = decode(bytes);
    auto* part = decoded ? std::get_if<update>(&*decoded) : nullptr;
    return part == nullptr ? std::nullopt : std::optional{std::move(*part)};
}

std::optional<message> decode_parts(std::string_view bytes)
{
    if (bytes.size() < part_size_bytes) {
        return std::nullopt;
    }
    std::size_t shared_size = 0;
    for (std::size_t i = 0; i < part_size_bytes; ++i) {
        shared_size |= std::size_t{static_cast<unsigned char>(bytes[i])} << (CHAR_BIT * i);
    }
    bytes.remove_prefix(part_size_bytes);
    if (shared_size > bytes.size()) {
        return std::nullopt;
    }
    auto shared = decode_part(bytes.substr(0, shared_size));
    auto joined = decode_part(bytes.substr(shared_size));
    if (!shared || !joined) {
        return std::nullopt;
    }
    joined->text = std::move(shared->text);
    shared->targets.revision = joined->targets.revision;
    joined->targets = std::move(shared->targets);
    joined->entry_hosts = std::move(shared->entry_hosts);
    return std::move(*joined);
}

} // namespace

std::string encode(const message& to_encode)
{
    frames::FrameT frame;
    std::visit([&](const auto& each) { frame.body.Set(pack(each)); }, to_encode);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(frames::Frame::Pack(builder, &frame));
    const std::string_view plain{reinterpret_cast<const char*>(builder.GetBufferPointer()),
                                 builder.GetSize()};
    // Appended, since g++ 12 warns falsely of overlapping copies in a sum of strings.
    std::string out;
    if (plain.size() < min_deflated_bytes) {
        out += plain_marker;
        out.append(plain);
    }
    else {
        out += deflated_marker;
        out.append(deflate(plain));
    }
    return out;
}

std::string encode_parts(std::string_view shared, const update& own)
{
    std::string out{parts_marker};
    for (std::size_t i = 0; i < part_size_bytes; ++i) {
        out += static_cast<char>((shared.size() >> (CHAR_BIT * i)) & UCHAR_MAX);
    }
    out += shared;
    return out + encode(own);
}

std::optional<message> decode(std::string_view bytes)
{
    if (bytes.empty()) {
        return std::nullopt;
    }
    const char marker = bytes.front();
    bytes.remove_prefix(1);
    if (marker == parts_marker) {
        return decode_parts(bytes);
    }
    if (marker == plain_marker) {
        return decode_plain(bytes);
    }
    const auto plain =
        marker == deflated_marker ? inflate(bytes, max_inflated_bytes) : std::nullopt;
    return plain ? decode_plain(*plain) : std::nullopt;
}

} // namespace bth::fleet
