#include "bth/bench/fake_links.h"

#include <algorithm>

namespace bth::bench {

namespace {

constexpr double nanoseconds_per_second = 1e9;

} // namespace

fake_links::fake_links(const config::model& model)
{
    for (const config::link& each : model.links) {
        this->rows.push_back({each.from, each.to, nanoseconds_per_second / each.cap.value(),
                              each.delay, time_point{}, false});
    }
}

const fake_links::row& fake_links::find(region_id from, region_id to) const
{
    return *std::find_if(this->rows.begin(), this->rows.end(),
                         [&](const row& each) { return each.from == from && each.to == to; });
}

fake_links::row& fake_links::find(region_id from, region_id to)
{
    return *std::find_if(this->rows.begin(), this->rows.end(),
                         [&](const row& each) { return each.from == from && each.to == to; });
}

std::optional<time_point> fake_links::send(region_id from, region_id to, byte_count bytes,
                                           time_point now)
{
    row& link = this->find(from, to);
    if (link.cut) {
        return std::nullopt;
    }
    const double passing = static_cast<double>(bytes) * link.nanoseconds_per_byte;
    link.free_at = std::max(link.free_at, now) + duration{static_cast<duration::rep>(passing)};
    return link.free_at + link.delay;
}

void fake_links::cut(region_id a, region_id b, bool is_cut)
{
    this->find(a, b).cut = is_cut;
    this->find(b, a).cut = is_cut;
}

bool fake_links::is_cut(region_id a, region_id b) const
{
    return a != b && this->find(a, b).cut;
}

} // namespace bth::bench
