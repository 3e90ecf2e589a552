#include "bth/config/delta.h"
#include "bth/config/internal/delta_generated.h"

#include <algorithm>

namespace bth::config {

namespace {

constexpr std::uint8_t most_block_length = 32;

using entry_list = flatbuffers::Vector<flatbuffers::Offset<wire::entry>>;

std::string text_of(const flatbuffers::String* text)
{
    return text == nullptr ? std::string{} : text->str();
}

ipv4_block block_of(std::uint32_t address, std::uint8_t length)
{
    return {ipv4_address{address}, length};
}

// Whether the length is possible and no bit behind it is set.
bool well_formed(const ipv4_block& block)
{
    if (block.length > most_block_length) {
        return false;
    }
    const std::uint64_t host_bits = (std::uint64_t{1} << (most_block_length - block.length)) - 1;
    return (block.address.bits & host_bits) == 0;
}

bool read_entries(const entry_list* from, std::vector<entry>& to)
{
    if (from == nullptr) {
        return true;
    }
    for (const wire::entry* each : *from) {
        if (each->section() >= section_count) {
            return false;
        }
        const auto part = static_cast<section>(each->section());
        to.push_back({{part, each->name()->str()}, text_of(each->value())});
    }
    return true;
}

bool read_keys(const entry_list* from, std::vector<entry_key>& to)
{
    std::vector<entry> rows;
    if (!read_entries(from, rows)) {
        return false;
    }
    for (entry& row : rows) {
        to.push_back(std::move(row.key));
    }
    return true;
}

bool read_blocks(const wire::delta& from, delta& to)
{
    if (from.domains() != nullptr) {
        for (const flatbuffers::String* name : *from.domains()) {
            to.domains.push_back(text_of(name));
        }
    }
    if (from.blocks_set() != nullptr) {
        for (const wire::block* each : *from.blocks_set()) {
            to.blocks_set.push_back(
                {ipv4_address{each->address()}, each->domain(), each->length()});
        }
    }
    if (from.blocks_removed() != nullptr) {
        for (const wire::block_key* each : *from.blocks_removed()) {
            to.blocks_removed.push_back(block_of(each->address(), each->length()));
        }
    }
    const auto good_row = [&](const block_row& row) {
        return row.domain < to.domains.size() && well_formed(row.block());
    };
    return std::all_of(to.blocks_set.begin(), to.blocks_set.end(), good_row) &&
           std::all_of(to.blocks_removed.begin(), to.blocks_removed.end(), well_formed);
}

// Empty lists take no bytes.
template <class Offset>
flatbuffers::Offset<flatbuffers::Vector<Offset>> list_of(flatbuffers::FlatBufferBuilder& builder,
                                                         const std::vector<Offset>& items)
{
    return items.empty() ? 0 : builder.CreateVector(items);
}

template <class Struct>
flatbuffers::Offset<flatbuffers::Vector<const Struct*>>
structs_of(flatbuffers::FlatBufferBuilder& builder, const std::vector<Struct>& items)
{
    return items.empty() ? 0 : builder.CreateVectorOfStructs(items);
}

} // namespace

std::string encode(const delta& change)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::entry>> set;
    for (const entry& row : change.set) {
        const auto name = builder.CreateString(row.key.name);
        const auto value = builder.CreateString(row.value);
        set.push_back(
            wire::Createentry(builder, static_cast<std::uint8_t>(row.key.part), name, value));
    }
    std::vector<flatbuffers::Offset<wire::entry>> removed;
    for (const entry_key& key : change.removed) {
        const auto name = builder.CreateString(key.name);
        removed.push_back(wire::Createentry(builder, static_cast<std::uint8_t>(key.part), name));
    }
    std::vector<flatbuffers::Offset<flatbuffers::String>> domains;
    for (const std::string& name : change.domains) {
        domains.push_back(builder.CreateString(name));
    }
    std::vector<wire::block> blocks_set;
    for (const block_row& row : change.blocks_set) {
        blocks_set.emplace_back(row.address.bits, row.domain, row.length);
    }
    std::vector<wire::block_key> blocks_removed;
    for (const ipv4_block& block : change.blocks_removed) {
        blocks_removed.emplace_back(block.address.bits, block.length);
    }
    const auto set_list = list_of(builder, set);
    const auto removed_list = list_of(builder, removed);
    const auto domain_list = list_of(builder, domains);
    const auto set_blocks = structs_of(builder, blocks_set);
    const auto removed_blocks = structs_of(builder, blocks_removed);
    builder.Finish(wire::Createdelta(builder, change.from.value(), change.to.value(),
                                     change.digest.value(), set_list, removed_list, domain_list,
                                     set_blocks, removed_blocks));
    const auto* bytes = reinterpret_cast<const char*>(builder.GetBufferPointer());
    return {bytes, builder.GetSize()};
}

std::optional<delta> decode_delta(std::string_view bytes)
{
    const std::string aligned{bytes};
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier{data, aligned.size()};
    if (!wire::VerifydeltaBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::delta& from = *wire::Getdelta(data);
    delta change;
    change.from = revision{from.from()};
    change.to = revision{from.to()};
    change.digest = table_digest{from.digest()};
    const bool good = read_entries(from.set(), change.set) &&
                      read_keys(from.removed(), change.removed) && read_blocks(from, change);
    return good ? std::optional{std::move(change)} : std::nullopt;
}

} // namespace bth::config
