#include "bth/storage/record.h"

#include <algorithm>
#include <cstddef>

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <xxhash.h>

namespace bth::storage {

namespace {

constexpr std::size_t length_size = 8;
constexpr std::size_t crc_size = 4;
constexpr std::size_t chain_size = 8;
constexpr std::size_t header_size = length_size + crc_size;
constexpr std::size_t trailer_size = chain_size + crc_size + 1;
// The last byte of a record: where it is zero, the file was lengthened but not written this far.
constexpr char end_marker = '\xa5';

template <class Integer>
std::string to_bytes(Integer value)
{
    std::string bytes(sizeof(Integer), '\0');
    boost::endian::endian_store<Integer, sizeof(Integer), boost::endian::order::little>(
        reinterpret_cast<unsigned char*>(bytes.data()), value);
    return bytes;
}

template <class Integer>
Integer from_bytes(std::string_view bytes)
{
    return boost::endian::endian_load<Integer, sizeof(Integer), boost::endian::order::little>(
        reinterpret_cast<const unsigned char*>(bytes.data()));
}

std::uint32_t crc_of(std::string_view bytes)
{
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}

bool all_zero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char each) { return each == '\0'; });
}

// Reads one record from the front of `rest`; on success removes it from `rest`.
enum class record_fault : std::uint8_t { none, torn, length_damaged, body_damaged, chain_broken };

record_fault take_record(std::string_view& rest, std::uint64_t& chain, std::string& body)
{
    if (rest.size() < header_size || all_zero(rest)) {
        return record_fault::torn;
    }
    const auto length_bytes = rest.substr(0, length_size);
    if (crc_of(length_bytes) != from_bytes<std::uint32_t>(rest.substr(length_size))) {
        const bool zeros = all_zero(rest.substr(header_size)) && rest.size() > header_size;
        return zeros ? record_fault::torn : record_fault::length_damaged;
    }
    const auto length = from_bytes<std::uint64_t>(length_bytes);
    const auto available = rest.size() - header_size;
    if (available < trailer_size || length > available - trailer_size) {
        return record_fault::torn;
    }
    const auto content = rest.substr(header_size, length + chain_size);
    const auto trailer = rest.substr(header_size + length, trailer_size);
    const auto behind = rest.substr(header_size + length + trailer_size);
    const bool marked = trailer.back() == end_marker;
    if (!marked || crc_of(content) != from_bytes<std::uint32_t>(trailer.substr(chain_size))) {
        const bool zeros = trailer.back() == '\0' && all_zero(behind);
        return zeros ? record_fault::torn : record_fault::body_damaged;
    }
    body = content.substr(0, length);
    const auto expected = XXH64(body.data(), body.size(), chain);
    if (expected != from_bytes<std::uint64_t>(trailer)) {
        return record_fault::chain_broken;
    }
    chain = expected;
    rest = behind;
    return record_fault::none;
}

std::string describe(record_fault fault)
{
    switch (fault) {
    case record_fault::length_damaged:
        return "the length of a record doesn't match its checksum";
    case record_fault::body_damaged:
        return "a record doesn't match its checksum";
    default:
        return "a record doesn't follow from the one before it";
    }
}

} // namespace

std::string record_chain::encode(std::string_view body)
{
    const auto length = to_bytes<std::uint64_t>(body.size());
    this->value = XXH64(body.data(), body.size(), this->value);
    const auto content = std::string{body} + to_bytes(this->value);
    return length + to_bytes(crc_of(length)) + content + to_bytes(crc_of(content)) + end_marker;
}

record_run read_records(std::string_view file, std::uint64_t seed)
{
    record_run run;
    auto rest = file;
    auto chain = seed;
    while (!rest.empty()) {
        std::string body;
        const auto fault = take_record(rest, chain, body);
        if (fault == record_fault::torn) {
            run.torn_bytes = rest.size();
            break;
        }
        if (fault != record_fault::none) {
            run.damage = describe(fault);
            break;
        }
        run.bodies.push_back(std::move(body));
    }
    run.end = file.size() - rest.size();
    run.chain = record_chain{chain};
    return run;
}

} // namespace bth::storage
