// The share of a service's traffic whose serving failure domain changed, from the ground truth.
//
// For the window that ends now and the one before it, each home's served requests are counted by
// serving domain. What a domain serves of a home beyond its earlier part of that home's traffic has
// moved; the sum of it over all homes and domains, over all that was served in the window, is the
// moved share (the total variation distance of the two assignments, weighted by traffic).
#pragma once

#include "bth/base/ids.h"
#include "bth/base/units.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace bth::bench {

class shift_audit {
public:
    // `window` in samples.
    shift_audit(std::size_t domain_count, std::size_t window);

    void served(domain_id home, domain_id by);
    // Closes a sample; the moved share of the window that ends now, 0 while there aren't two.
    share sample();

private:
    using counts = std::vector<double>;
    double moved_of(std::size_t home) const;

    std::size_t domain_count;
    std::size_t window;
    // Samples of the last two windows, oldest first; the last one is open.
    std::deque<counts> samples;
    counts current;
    counts previous;
};

} // namespace bth::bench
