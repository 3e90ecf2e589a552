#include "bth/steering/shift_audit.h"

#include <algorithm>
#include <utility>

namespace bth::steering {

namespace {

constexpr std::size_t slices_per_window = 20;
constexpr std::size_t slices_per_quarter = slices_per_window / 4;
constexpr std::size_t settling_quarters = 5;

} // namespace

shift_audit::shift_audit(std::shared_ptr<const config::model> given, time_point begin)
    : model{std::move(given)}, start{begin}, counts_by_service(this->model->services.size())
{}

std::size_t shift_audit::slice_of(service_id service, time_point now) const
{
    const duration slice = duration{this->model->at(service).shift.window} / slices_per_window;
    // Slices start at multiples of their length since the epoch, as in shift_limiter. They are
    // numbered from the slice that contains the start.
    const std::int64_t first = this->start.time_since_epoch() / slice;
    return static_cast<std::size_t>(now.time_since_epoch() / slice - first);
}

// Returns the sum of `slice_count` slices, the latest of them `offset` slices before `newest`.
std::uint64_t shift_audit::sum(const slice_counts& counts, std::size_t newest,
                               std::size_t slice_count, std::size_t offset)
{
    std::uint64_t total = 0;
    for (std::size_t each = offset; each < offset + slice_count && each <= newest; ++each) {
        total += newest - each < counts.size() ? counts.at(newest - each) : 0;
    }
    return total;
}

// Returns whether another request of this pair of domains in `slice` is a shift: the quarter that
// ends now already has as many requests that were no shifts as the least busy of the five quarters
// before `slice` has requests.
bool shift_audit::is_shift(const pair_counts& row, std::size_t slice) const
{
    std::uint64_t settled = sum(row.served, slice, slices_per_quarter, 1);
    for (std::size_t quarter = 1; quarter < settling_quarters; ++quarter) {
        settled = std::min(
            settled, sum(row.served, slice, slices_per_quarter, 1 + quarter * slices_per_quarter));
    }
    const std::uint64_t not_shifted =
        sum(row.served, slice, slices_per_quarter) - sum(row.shifted, slice, slices_per_quarter);
    return not_shifted >= settled;
}

void shift_audit::record_request(service_id service, domain_id domain, domain_id home,
                                 time_point now)
{
    const std::size_t slice = this->slice_of(service, now);
    pair_counts& row = this->counts_by_service.at(service.index())[{domain, home}];
    row.served.resize(slice + 1);
    row.shifted.resize(slice + 1);
    const bool shift = domain != home && this->is_shift(row, slice);
    ++row.served.back();
    if (shift) {
        ++row.shifted.back();
        ++this->shift_count;
        this->check_domain(service, domain, slice);
        this->check_service(service, slice);
    }
}

std::uint64_t shift_audit::recent_traffic(service_id service, domain_id home,
                                          std::size_t slice) const
{
    std::uint64_t current_window = 0;
    std::uint64_t previous_window = 0;
    for (const auto& [key, row] : this->counts_by_service.at(service.index())) {
        if (key.second == home) {
            current_window += sum(row.served, slice, slices_per_window + 1);
            previous_window += sum(row.served, slice, slices_per_window, slices_per_window);
        }
    }
    return std::max(current_window, previous_window);
}

std::uint64_t shift_audit::shifts_into(service_id service, domain_id domain,
                                       std::size_t slice) const
{
    std::uint64_t total = 0;
    for (const auto& [key, row] : this->counts_by_service.at(service.index())) {
        if (key.first == domain) {
            total += sum(row.shifted, slice, slices_per_window);
        }
    }
    return total;
}

void shift_audit::check_domain(service_id service, domain_id domain, std::size_t slice)
{
    const double cap_share = this->model->at(service).shift.part.value();
    const auto own_traffic = static_cast<double>(this->recent_traffic(service, domain, slice));
    const auto allowed = static_cast<std::uint64_t>(cap_share * own_traffic);
    const std::uint64_t observed = this->shifts_into(service, domain, slice);
    if (observed > allowed) {
        this->violated.push_back({violation_kind::shift_cap_exceeded, service, observed, allowed});
    }
}

void shift_audit::check_service(service_id service, std::size_t slice)
{
    double total_traffic = 0.0;
    std::uint64_t observed = 0;
    for (std::size_t index = 0; index < this->model->domains.size(); ++index) {
        const auto domain = domain_id::from_index(index);
        total_traffic += static_cast<double>(this->recent_traffic(service, domain, slice));
        observed += this->shifts_into(service, domain, slice);
    }
    const auto allowed =
        static_cast<std::uint64_t>(this->model->at(service).shift.part.value() * total_traffic);
    if (observed > allowed) {
        this->violated.push_back({violation_kind::shift_cap_exceeded, service, observed, allowed});
    }
}

} // namespace bth::steering
