#include "bth/bench/outcome.h"

#include <algorithm>
#include <numeric>

namespace bth::bench {

namespace {

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

std::string_view outcome_name(steering::attempt_outcome which)
{
    static constexpr std::array<std::string_view, 6> names{
        "answered", "not run", "without a connection", "broken", "timed out", "cancelled"};
    return names.at(static_cast<std::size_t>(which));
}

std::uint64_t outcome::offered() const
{
    return std::accumulate(
        this->classes.begin(), this->classes.end(), std::uint64_t{},
        [](std::uint64_t sum, const class_outcome& each) { return sum + each.offered; });
}

std::uint64_t outcome::served() const
{
    return std::accumulate(
        this->classes.begin(), this->classes.end(), std::uint64_t{},
        [](std::uint64_t sum, const class_outcome& each) { return sum + each.served; });
}

double outcome::served_part() const
{
    return ratio(this->served(), this->offered());
}

double outcome::served_part(std::size_t class_index) const
{
    const class_outcome& row = this->classes.at(class_index);
    return ratio(row.served, row.offered);
}

bool outcome::clean() const
{
    return std::all_of(this->breaches.begin(), this->breaches.end(),
                       [](const breach& each) { return each.count == 0; });
}

} // namespace bth::bench
