// A histogram of durations with a relative error under 2%, counted in powers of two that are split
// evenly (the scheme of HdrHistogram).
//
//   histogram seen;
//   seen.add(latency);
//   duration p99 = seen.percentile(0.99);
#pragma once

#include "bth/base/time.h"

#include <cstdint>
#include <vector>

namespace bth::bench {

class histogram {
public:
    void add(duration value);
    // The smallest bucket's end that at least `part` (0 to 1) of the values don't exceed; zero if
    // there are none.
    duration percentile(double part) const;
    std::uint64_t count() const { return this->total; }

private:
    std::vector<std::uint64_t> buckets;
    std::uint64_t total{};
};

} // namespace bth::bench
