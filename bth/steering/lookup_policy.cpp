#include "bth/steering/lookup_policy.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>

#include <xxhash.h>

namespace bth::steering {

namespace {

constexpr request_rate default_answer_rate{1.0};
// The share of a domain's capacity that expected load of the lowest priority may use.
constexpr double lowest_priority_share = 0.5;
// The maximum number of hosts of the first domain in an answer. The remaining positions are for
// fallback domains.
constexpr std::size_t max_leading_hosts = 3;
// The fractional part of the golden ratio. The fractional parts of its multiples are distributed
// evenly over the unit interval (Weyl, 1916).
constexpr double golden_ratio_step = 0.6180339887498949;

// Returns the weight of a host for a service in rendezvous hashing (Thaler and Ravishankar, 1998).
std::uint64_t weight(std::string_view service, std::string_view host)
{
    std::string key{service};
    key.push_back('\0');
    key.append(host);
    return XXH3_64bits(key.data(), key.size());
}

std::vector<host_id> stable_order(const config::model& model, service_id service, domain_id domain)
{
    std::vector<std::pair<std::uint64_t, host_id>> weighted_hosts;
    for (std::size_t index = 0; index < model.hosts.size(); ++index) {
        const config::entry_host& host = model.hosts.at(index);
        if (host.domain == domain) {
            weighted_hosts.emplace_back(weight(model.at(service).name, host.name),
                                        host_id::from_index(index));
        }
    }
    std::sort(weighted_hosts.rbegin(), weighted_hosts.rend());
    std::vector<host_id> order;
    order.reserve(weighted_hosts.size());
    for (const auto& [unused, host] : weighted_hosts) {
        order.push_back(host);
    }
    return order;
}

std::int64_t second_of(time_point now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

// Returns the share of a domain's capacity that expected load of a priority may use: 1 for the
// highest priority, lowest_priority_share for the lowest one that the service has.
double share_for(const config::service& service, priority_level priority)
{
    const auto lowest = std::max_element(service.priority.begin(), service.priority.end());
    if (lowest == service.priority.end() || lowest->index() == 0) {
        return 1.0;
    }
    const double rank =
        static_cast<double>(priority.index()) / static_cast<double>(lowest->index());
    return 1.0 - rank * (1.0 - lowest_priority_share);
}

} // namespace

void lookup_policy::configure(std::shared_ptr<const config::model> next)
{
    this->model = std::move(next);
    this->hosts.assign(this->model->hosts.size(), {});
    this->answer_rates.assign(this->model->services.size(), default_answer_rate);
    this->domain_services.assign(this->model->domains.size() * this->model->services.size(), {});
    for (std::size_t domain = 0; domain < this->model->domains.size(); ++domain) {
        for (std::size_t service = 0; service < this->model->services.size(); ++service) {
            const auto domain_at = domain_id::from_index(domain);
            const auto service_at = service_id::from_index(service);
            this->domain_service(domain_at, service_at).order =
                stable_order(*this->model, service_at, domain_at);
        }
    }
}

void lookup_policy::set_host(host_id host, const lookup_host& state)
{
    this->hosts.at(host.index()) = state;
}

void lookup_policy::set_domain_service(domain_id domain, service_id service,
                                       const domain_service_state& state)
{
    this->domain_service(domain, service).state = state;
}

void lookup_policy::set_answer_rate(service_id service, request_rate rate)
{
    this->answer_rates.at(service.index()) = rate;
}

lookup_policy::domain_service_row& lookup_policy::domain_service(domain_id domain,
                                                                 service_id service)
{
    return this->domain_services.at(domain.index() * this->model->services.size() +
                                    service.index());
}

void lookup_policy::expire_answers(domain_service_row& row, time_point now)
{
    const std::int64_t current_second = second_of(now);
    const auto slot_count = static_cast<std::int64_t>(expiry_slots);
    for (std::int64_t second = std::max(row.first_unexpired_second, current_second - slot_count);
         second < current_second; ++second) {
        std::uint32_t& expiring_answers =
            row.expiring_answers.at(static_cast<std::size_t>(second) % expiry_slots);
        row.unexpired_answers -= expiring_answers;
        expiring_answers = 0;
    }
    row.first_unexpired_second = std::max(row.first_unexpired_second, current_second);
}

void lookup_policy::record_answer(domain_service_row& row, std::chrono::seconds max_age,
                                  time_point now)
{
    // Answers are counted by the second in which they expire. One that is given at the end of a
    // second expires at the end of a second, so all of them count until that second has passed.
    const std::int64_t expiry_second = second_of(now) + max_age.count();
    ++row.expiring_answers.at(static_cast<std::size_t>(expiry_second) % expiry_slots);
    ++row.unexpired_answers;
}

bool lookup_policy::has_host(const domain_service_row& row, host_listing listing) const
{
    return std::any_of(row.order.begin(), row.order.end(), [&](host_id host) {
        return this->hosts.at(host.index()).listing == listing;
    });
}

// Returns whether a host keeps the first position in this answer. A host that has recently started
// keeps it only in the share of answers that its ramp gives.
bool lookup_policy::should_lead(host_id host)
{
    const double ramp = this->hosts.at(host.index()).ramp;
    if (ramp >= 1.0) {
        return true;
    }
    this->ramp_position += golden_ratio_step;
    this->ramp_position -= std::floor(this->ramp_position);
    return this->ramp_position < ramp;
}

void lookup_policy::append(const domain_service_row& row, host_listing listing,
                           std::size_t max_count, std::vector<host_id>& to)
{
    const std::size_t first = to.size();
    const auto& owner = row.state.owner;
    if (owner && this->hosts.at(owner->index()).listing == listing) {
        to.push_back(*owner);
    }
    for (const host_id host : row.order) {
        if (to.size() - first >= max_count) {
            break;
        }
        if (host != owner && this->hosts.at(host.index()).listing == listing) {
            to.push_back(host);
        }
    }
    if (to.size() - first > 1 && !this->should_lead(to.at(first))) {
        std::swap(to.at(first), to.at(first + 1));
    }
}

double lookup_policy::utilization_of(const domain_service_row& row, service_id service) const
{
    const request_rate expected_rate =
        this->answer_rates.at(service.index()) * static_cast<double>(row.unexpired_answers);
    const double capacity = row.state.available_rate.value();
    const double expected_utilization = capacity > 0.0 ? expected_rate.value() / capacity : 1.0;
    return std::clamp(expected_utilization, 0.0, 1.0);
}

std::optional<domain_id> lookup_policy::domain_with_capacity(const lookup_query& query,
                                                             time_point now)
{
    const config::service& service = this->model->at(query.service);
    const double share = share_for(service, service.priority.at(query.caller_class.index()));
    std::optional<domain_id> best;
    double lowest_utilization = 0.0;
    for (const domain_id domain : this->model->at(query.home).fallbacks) {
        domain_service_row& row = this->domain_service(domain, query.service);
        if (!this->has_host(row, host_listing::listed)) {
            continue;
        }
        expire_answers(row, now);
        const double utilization = this->utilization_of(row, query.service);
        if (utilization < share) {
            return domain;
        }
        if (!best || utilization < lowest_utilization) {
            best = domain;
            lowest_utilization = utilization;
        }
    }
    return best;
}

domain_id lookup_policy::leading_domain(const lookup_query& query, time_point now)
{
    const domain_service_row& home = this->domain_service(query.home, query.service);
    if (this->has_host(home, host_listing::listed) ||
        this->has_host(home, host_listing::last_resort)) {
        return query.home;
    }
    return this->domain_with_capacity(query, now).value_or(query.home);
}

lookup_answer lookup_policy::answer(const lookup_query& query, time_point now)
{
    lookup_answer result;
    result.hosts.reserve(max_hosts);
    const domain_id leading = this->leading_domain(query, now);
    domain_service_row& row = this->domain_service(leading, query.service);
    expire_answers(row, now);
    this->append(row, host_listing::listed, max_leading_hosts, result.hosts);
    this->append(row, host_listing::last_resort, max_leading_hosts - result.hosts.size(),
                 result.hosts);
    for (const host_listing listing : {host_listing::listed, host_listing::last_resort}) {
        for (const domain_id domain : this->model->at(query.home).fallbacks) {
            if (domain != leading && result.hosts.size() < max_hosts) {
                this->append(this->domain_service(domain, query.service), listing, 1, result.hosts);
            }
        }
    }
    if (result.hosts.empty()) {
        // All hosts are unlisted. Hosts that may be unavailable are more useful than no answer.
        result.hosts.assign(row.order.begin(),
                            row.order.begin() +
                                static_cast<std::ptrdiff_t>(std::min(max_hosts, row.order.size())));
    }
    const double utilization =
        leading == query.home ? row.state.load : this->utilization_of(row, query.service);
    const double span = static_cast<double>((longest_max_age - shortest_max_age).count());
    const double free = 1.0 - std::clamp(utilization, 0.0, 1.0);
    const auto extra_seconds = static_cast<std::int64_t>(std::floor(span * free));
    result.max_age = shortest_max_age + std::chrono::seconds{extra_seconds};
    record_answer(row, result.max_age, now);
    return result;
}

request_rate lookup_policy::expected_rate(domain_id domain, service_id service, time_point now)
{
    domain_service_row& row = this->domain_service(domain, service);
    expire_answers(row, now);
    return this->answer_rates.at(service.index()) * static_cast<double>(row.unexpired_answers);
}

} // namespace bth::steering
