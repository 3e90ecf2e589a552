#include "bth/fleet/compression.h"

#include <algorithm>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace bth::fleet {

namespace {

namespace zlib = boost::beast::zlib;

// The usual level of the library: lists and configurations shrink to a tenth.
constexpr int level = 6;
constexpr int window_bits = 15;
constexpr int memory_level = 8;

} // namespace

std::string deflate(std::string_view bytes)
{
    zlib::deflate_stream stream;
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    std::string out(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params step;
    step.next_in = bytes.data();
    step.avail_in = bytes.size();
    step.next_out = out.data();
    step.avail_out = out.size();
    boost::system::error_code done;
    stream.write(step, zlib::Flush::finish, done);
    out.resize(step.total_out);
    return out;
}

std::optional<std::string> inflate(std::string_view bytes, std::size_t limit)
{
    constexpr std::size_t first_guess = 8;
    zlib::inflate_stream stream;
    stream.reset(window_bits);
    std::string out(std::min(limit, std::max<std::size_t>(bytes.size() * first_guess, 1)), '\0');
    zlib::z_params step;
    step.next_in = bytes.data();
    step.avail_in = bytes.size();
    while (true) {
        step.next_out = out.data() + step.total_out;
        step.avail_out = out.size() - step.total_out;
        boost::system::error_code error;
        stream.write(step, zlib::Flush::sync, error);
        if (error == zlib::error::end_of_stream) {
            out.resize(step.total_out);
            return out;
        }
        const bool full = step.avail_out == 0;
        if ((error && error != zlib::error::need_buffers) || !full || out.size() >= limit) {
            return std::nullopt;
        }
        out.resize(std::min(limit, out.size() * 2));
    }
}

} // namespace bth::fleet
