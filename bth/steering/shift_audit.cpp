#include "bth/steering/shift_audit.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

constexpr std::size_t window_slices = 20;
constexpr std::size_t quarter_slices = window_slices / 4;
constexpr std::size_t settling_quarters = 5;

} // namespace

shift_audit::shift_audit(std::shared_ptr<const config::model> given, time_point begin)
    : model{std::move(given)}, start{begin}, rows(this->model->services.size())
{}

std::size_t shift_audit::slice_of(service_id service, time_point now) const
{
    const duration slice = duration{this->model->at(service).shift.window} / window_slices;
    // Slices of an absolute grid, as the limiters', counted from the start.
    const std::int64_t first = this->start.time_since_epoch() / slice;
    return static_cast<std::size_t>(now.time_since_epoch() / slice - first);
}

// The sum of `slices` slices, the latest of them `back` before `last`.
std::uint64_t shift_audit::sum(const counts& of, std::size_t last, std::size_t slices,
                               std::size_t back)
{
    std::uint64_t total = 0;
    for (std::size_t each = back; each < back + slices && each <= last; ++each) {
        total += last - each < of.size() ? of.at(last - each) : 0;
    }
    return total;
}

bool shift_audit::is_shift(const pair_row& row, std::size_t slice) const
{
    std::uint64_t settled = sum(row.served, slice, quarter_slices, 1);
    for (std::size_t quarter = 1; quarter < settling_quarters; ++quarter) {
        settled =
            std::min(settled, sum(row.served, slice, quarter_slices, 1 + quarter * quarter_slices));
    }
    const std::uint64_t kept =
        sum(row.served, slice, quarter_slices) - sum(row.moved, slice, quarter_slices);
    return kept >= settled;
}

void shift_audit::served(service_id service, domain_id domain, domain_id home, time_point now)
{
    const std::size_t slice = this->slice_of(service, now);
    pair_row& row = this->rows.at(service.index())[{domain, home}];
    row.served.resize(slice + 1);
    row.moved.resize(slice + 1);
    const bool shift = domain != home && this->is_shift(row, slice);
    ++row.served.back();
    if (shift) {
        ++row.moved.back();
        ++this->shift_count;
        this->check_domain(service, domain, slice);
        this->check_service(service, slice);
    }
}

std::uint64_t shift_audit::traffic(service_id service, domain_id home, std::size_t slice) const
{
    std::uint64_t now = 0;
    std::uint64_t before = 0;
    for (const auto& [key, row] : this->rows.at(service.index())) {
        if (key.second == home) {
            now += sum(row.served, slice, window_slices + 1);
            before += sum(row.served, slice, window_slices, window_slices);
        }
    }
    return std::max(now, before);
}

std::uint64_t shift_audit::moved(service_id service, domain_id domain, std::size_t slice) const
{
    std::uint64_t total = 0;
    for (const auto& [key, row] : this->rows.at(service.index())) {
        if (key.first == domain) {
            total += sum(row.moved, slice, window_slices);
        }
    }
    return total;
}

void shift_audit::check_domain(service_id service, domain_id domain, std::size_t slice)
{
    const double part = this->model->at(service).shift.part.value();
    const auto own = static_cast<double>(this->traffic(service, domain, slice));
    const auto allowed = static_cast<std::uint64_t>(part * own);
    const std::uint64_t observed = this->moved(service, domain, slice);
    if (observed > allowed) {
        this->violated.push_back({violation_kind::shift_cap_exceeded, service, observed, allowed});
    }
}

void shift_audit::check_service(service_id service, std::size_t slice)
{
    double all = 0.0;
    std::uint64_t observed = 0;
    for (std::size_t index = 0; index < this->model->domains.size(); ++index) {
        const auto domain = domain_id::from_index(index);
        all += static_cast<double>(this->traffic(service, domain, slice));
        observed += this->moved(service, domain, slice);
    }
    const auto allowed =
        static_cast<std::uint64_t>(this->model->at(service).shift.part.value() * all);
    if (observed > allowed) {
        this->violated.push_back({violation_kind::shift_cap_exceeded, service, observed, allowed});
    }
}

} // namespace bth::steering
