#include "bth/bench/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bth::bench {

namespace {

constexpr unsigned split_bits = 6;
constexpr std::uint64_t split = std::uint64_t{1} << split_bits;

std::size_t bucket_of(std::uint64_t microseconds)
{
    if (microseconds < split) {
        return microseconds;
    }
    const auto shift = static_cast<unsigned>(std::bit_width(microseconds)) - split_bits - 1;
    return (shift + 1) * split + (microseconds >> shift) - split;
}

std::uint64_t end_of(std::size_t bucket)
{
    if (bucket < split) {
        return bucket;
    }
    const std::size_t shift = bucket / split - 1;
    return ((bucket % split) + split + 1) << shift;
}

} // namespace

void histogram::add(duration value)
{
    const auto micro = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    const std::size_t bucket =
        bucket_of(static_cast<std::uint64_t>(std::max<std::int64_t>(micro, 0)));
    if (bucket >= this->buckets.size()) {
        this->buckets.resize(bucket + 1);
    }
    ++this->buckets[bucket];
    ++this->total;
}

duration histogram::percentile(double part) const
{
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(static_cast<double>(this->total) * part));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < this->buckets.size(); ++bucket) {
        seen += this->buckets[bucket];
        if (seen >= wanted && seen > 0) {
            return std::chrono::microseconds{static_cast<std::int64_t>(end_of(bucket))};
        }
    }
    return {};
}

} // namespace bth::bench
