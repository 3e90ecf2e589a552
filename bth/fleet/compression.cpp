#include "bth/fleet/compression.h"

#include <algorithm>
#include <memory>
#include <new>

// Makes zlib declare its input pointers const.
#define ZLIB_CONST
#include <zlib.h>

namespace bth::fleet {

namespace {

// With zlib's default level, target lists and configurations shrink to a tenth.
constexpr int compression_level = Z_DEFAULT_COMPRESSION;
// The largest window; negative selects raw deflate without header and checksum, since the frames
// of the peer links detect damage.
constexpr int raw_window_bits = -15;
constexpr int memory_level = 8;

// Ends a zlib stream that std::unique_ptr owns.
struct inflate_closer {
    void operator()(z_stream* stream) const { ::inflateEnd(stream); }
};
struct deflate_closer {
    void operator()(z_stream* stream) const { ::deflateEnd(stream); }
};

// The parameters are constant and valid, so zlib can fail to initialize a stream only for lack of
// memory.
void check_initialized(int result)
{
    if (result != Z_OK) {
        throw std::bad_alloc{};
    }
}

void set_input(z_stream& stream, std::string_view bytes)
{
    stream.next_in = reinterpret_cast<const Bytef*>(bytes.data());
    stream.avail_in = static_cast<uInt>(bytes.size());
}

void set_output(z_stream& stream, std::string& out)
{
    stream.next_out = reinterpret_cast<Bytef*>(out.data()) + stream.total_out;
    stream.avail_out = static_cast<uInt>(out.size() - stream.total_out);
}

} // namespace

std::string deflate(std::string_view bytes)
{
    z_stream stream{};
    check_initialized(::deflateInit2(&stream, compression_level, Z_DEFLATED, raw_window_bits,
                                     memory_level, Z_DEFAULT_STRATEGY));
    const std::unique_ptr<z_stream, deflate_closer> closer{&stream};
    std::string out(::deflateBound(&stream, static_cast<uLong>(bytes.size())), '\0');
    set_input(stream, bytes);
    set_output(stream, out);
    ::deflate(&stream, Z_FINISH);
    out.resize(stream.total_out);
    return out;
}

std::optional<std::string> inflate(std::string_view bytes, std::size_t limit)
{
    constexpr std::size_t initial_expansion_factor = 8;
    z_stream stream{};
    check_initialized(::inflateInit2(&stream, raw_window_bits));
    const std::unique_ptr<z_stream, inflate_closer> closer{&stream};
    std::string out(
        std::min(limit, std::max<std::size_t>(bytes.size() * initial_expansion_factor, 1)), '\0');
    set_input(stream, bytes);
    while (true) {
        set_output(stream, out);
        const int status = ::inflate(&stream, Z_NO_FLUSH);
        if (status == Z_STREAM_END) {
            out.resize(stream.total_out);
            return stream.avail_in == 0 ? std::optional{std::move(out)} : std::nullopt;
        }
        // Free output space means that the input is truncated; a full buffer has to grow.
        const bool full = stream.avail_out == 0;
        if ((status != Z_OK && status != Z_BUF_ERROR) || !full || out.size() >= limit) {
            return std::nullopt;
        }
        out.resize(std::min(limit, out.size() * 2));
    }
}

} // namespace bth::fleet
