// Fake links between regions: delay, a rate at which bytes pass, and cuts.
//
//   fake_links links{model};
//   if (auto at = links.send(from, to, bytes, now)) { deliver(*at); }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"
#include "bth/config/model.h"

#include <optional>
#include <vector>

namespace bth::bench {

class fake_links {
public:
    explicit fake_links(const config::model& model);

    // When `bytes` sent now arrive; nothing if the link is cut. The caller makes sure that the
    // regions differ. Bytes wait their turn, so a link never carries more than its rate.
    std::optional<time_point> send(region_id from, region_id to, byte_count bytes, time_point now);
    // Cuts or heals both directions between two regions.
    void cut(region_id a, region_id b, bool is_cut);
    bool is_cut(region_id a, region_id b) const;

private:
    struct row {
        region_id from;
        region_id to;
        double nanoseconds_per_byte{};
        duration delay{};
        time_point free_at{};
        bool cut{};
    };
    row& find(region_id from, region_id to);
    const row& find(region_id from, region_id to) const;

    std::vector<row> rows;
};

} // namespace bth::bench
