#include "bth/bench/shift_audit.h"

#include <algorithm>
#include <numeric>

namespace bth::bench {

namespace {

void add(std::vector<double>& to, const std::vector<double>& what, double factor)
{
    for (std::size_t index = 0; index < to.size(); ++index) {
        to[index] += what[index] * factor;
    }
}

} // namespace

shift_audit::shift_audit(std::size_t domains, std::size_t samples_per_window)
    : domain_count{domains}, window{samples_per_window}, samples(1, counts(domains * domains)),
      current(domains * domains), previous(domains * domains)
{}

void shift_audit::served(domain_id home, domain_id by)
{
    this->samples.back()[home.index() * this->domain_count + by.index()] += 1.0;
}

double shift_audit::moved_of(std::size_t home) const
{
    const auto begin = static_cast<std::ptrdiff_t>(home * this->domain_count);
    const auto end = begin + static_cast<std::ptrdiff_t>(this->domain_count);
    const double now =
        std::accumulate(this->current.begin() + begin, this->current.begin() + end, 0.0);
    const double before =
        std::accumulate(this->previous.begin() + begin, this->previous.begin() + end, 0.0);
    if (before == 0) {
        return 0;
    }
    double moved = 0;
    for (auto at = begin; at < end; ++at) {
        const auto cell = static_cast<std::size_t>(at);
        moved += std::max(0.0, this->current[cell] - this->previous[cell] * now / before);
    }
    return moved;
}

share shift_audit::sample()
{
    add(this->current, this->samples.back(), 1.0);
    if (this->samples.size() > this->window) {
        const counts& middle = this->samples[this->samples.size() - 1 - this->window];
        add(this->current, middle, -1.0);
        add(this->previous, middle, 1.0);
    }
    if (this->samples.size() > 2 * this->window) {
        add(this->previous, this->samples.front(), -1.0);
        this->samples.pop_front();
    }
    const bool two_windows = this->samples.size() == 2 * this->window;
    this->samples.emplace_back(this->domain_count * this->domain_count);
    const double total = std::accumulate(this->current.begin(), this->current.end(), 0.0);
    if (!two_windows || total == 0) {
        return share{};
    }
    double moved = 0;
    for (std::size_t home = 0; home < this->domain_count; ++home) {
        moved += this->moved_of(home);
    }
    return share{moved / total};
}

} // namespace bth::bench
