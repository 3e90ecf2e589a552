#include "bth/steering/lookup_policy.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>

#include <xxhash.h>

namespace bth::steering {

namespace {

constexpr request_rate usual_answer_rate{1.0};
// The part of a domain's room that answers to the lowest priority may promise.
constexpr double lowest_priority_part = 0.5;
// How many hosts of the leading domain an answer names, and of the next one.
constexpr std::size_t leading_hosts = 3;
// The golden ratio's fraction; its multiples spread evenly over the unit interval (Weyl, 1916).
constexpr double even_step = 0.6180339887498949;

// Rendezvous hashing (Thaler and Ravishankar, 1998): the weight of a host for a service.
std::uint64_t weight(std::string_view service, std::string_view host)
{
    std::string both{service};
    both.push_back('\0');
    both.append(host);
    return XXH3_64bits(both.data(), both.size());
}

std::vector<host_id> stable_order(const config::model& model, service_id service, domain_id domain)
{
    std::vector<std::pair<std::uint64_t, host_id>> weighed;
    for (std::size_t index = 0; index < model.hosts.size(); ++index) {
        const config::entry_host& host = model.hosts.at(index);
        if (host.domain == domain) {
            weighed.emplace_back(weight(model.at(service).name, host.name),
                                 host_id::from_index(index));
        }
    }
    std::sort(weighed.rbegin(), weighed.rend());
    std::vector<host_id> order;
    order.reserve(weighed.size());
    for (const auto& [unused, host] : weighed) {
        order.push_back(host);
    }
    return order;
}

std::int64_t second_of(time_point now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

// The part of its room that a domain may promise to a priority.
double part_for(const config::service& service, priority_level priority)
{
    const auto lowest = std::max_element(service.priority.begin(), service.priority.end());
    if (lowest == service.priority.end() || lowest->index() == 0) {
        return 1.0;
    }
    const double rank =
        static_cast<double>(priority.index()) / static_cast<double>(lowest->index());
    return 1.0 - rank * (1.0 - lowest_priority_part);
}

} // namespace

void lookup_policy::configure(std::shared_ptr<const config::model> next)
{
    this->model = std::move(next);
    this->hosts.assign(this->model->hosts.size(), {});
    this->answer_rates.assign(this->model->services.size(), usual_answer_rate);
    this->places.assign(this->model->domains.size() * this->model->services.size(), {});
    for (std::size_t domain = 0; domain < this->model->domains.size(); ++domain) {
        for (std::size_t service = 0; service < this->model->services.size(); ++service) {
            const auto domain_at = domain_id::from_index(domain);
            const auto service_at = service_id::from_index(service);
            this->place(domain_at, service_at).order =
                stable_order(*this->model, service_at, domain_at);
        }
    }
}

void lookup_policy::set_host(host_id host, const lookup_host& known)
{
    this->hosts.at(host.index()) = known;
}

void lookup_policy::set_place(domain_id domain, service_id service, const lookup_place& known)
{
    this->place(domain, service).known = known;
}

void lookup_policy::set_answer_rate(service_id service, request_rate rate)
{
    this->answer_rates.at(service.index()) = rate;
}

lookup_policy::place_row& lookup_policy::place(domain_id domain, service_id service)
{
    return this->places.at(domain.index() * this->model->services.size() + service.index());
}

void lookup_policy::expire(place_row& row, time_point now)
{
    const std::int64_t next = second_of(now);
    const auto slots = static_cast<std::int64_t>(promise_slots);
    for (std::int64_t each = std::max(row.second, next - slots); each < next; ++each) {
        std::uint32_t& ending = row.ending.at(static_cast<std::size_t>(each) % promise_slots);
        row.outstanding -= ending;
        ending = 0;
    }
    row.second = std::max(row.second, next);
}

void lookup_policy::promise(place_row& row, std::chrono::seconds max_age, time_point now)
{
    // An answer given late in a second is kept until late in its last one.
    const std::int64_t end = second_of(now) + max_age.count();
    ++row.ending.at(static_cast<std::size_t>(end) % promise_slots);
    ++row.outstanding;
}

bool lookup_policy::has(const place_row& row, host_listing listing) const
{
    return std::any_of(row.order.begin(), row.order.end(), [&](host_id host) {
        return this->hosts.at(host.index()).listing == listing;
    });
}

// Whether a host that may have just started leads this answer.
bool lookup_policy::leads_now(host_id host)
{
    const double ramp = this->hosts.at(host.index()).ramp;
    if (ramp >= 1.0) {
        return true;
    }
    this->ramp_step += even_step;
    this->ramp_step -= std::floor(this->ramp_step);
    return this->ramp_step < ramp;
}

void lookup_policy::append(const place_row& row, host_listing listing, std::size_t most,
                           std::vector<host_id>& to)
{
    const std::size_t first = to.size();
    const auto& owner = row.known.owner;
    if (owner && this->hosts.at(owner->index()).listing == listing) {
        to.push_back(*owner);
    }
    for (const host_id host : row.order) {
        if (to.size() - first >= most) {
            break;
        }
        if (host != owner && this->hosts.at(host.index()).listing == listing) {
            to.push_back(host);
        }
    }
    if (to.size() - first > 1 && !this->leads_now(to.at(first))) {
        std::swap(to.at(first), to.at(first + 1));
    }
}

double lookup_policy::fill_of(const place_row& row, service_id service) const
{
    const request_rate promised =
        this->answer_rates.at(service.index()) * static_cast<double>(row.outstanding);
    const double room = row.known.room.value();
    const double by_promise = room > 0.0 ? promised.value() / room : 1.0;
    return std::clamp(by_promise, 0.0, 1.0);
}

std::optional<domain_id> lookup_policy::domain_with_room(const lookup_query& query, time_point now)
{
    const config::service& service = this->model->at(query.service);
    const double part = part_for(service, service.priority.at(query.caller_class.index()));
    std::optional<domain_id> best;
    double best_fill = 0.0;
    for (const domain_id domain : this->model->at(query.home).fallbacks) {
        place_row& row = this->place(domain, query.service);
        if (!this->has(row, host_listing::listed)) {
            continue;
        }
        expire(row, now);
        const double fill = this->fill_of(row, query.service);
        if (fill < part) {
            return domain;
        }
        if (!best || fill < best_fill) {
            best = domain;
            best_fill = fill;
        }
    }
    return best;
}

domain_id lookup_policy::leading_domain(const lookup_query& query, time_point now)
{
    const place_row& home = this->place(query.home, query.service);
    if (this->has(home, host_listing::listed) || this->has(home, host_listing::spare)) {
        return query.home;
    }
    return this->domain_with_room(query, now).value_or(query.home);
}

lookup_answer lookup_policy::answer(const lookup_query& query, time_point now)
{
    lookup_answer result;
    result.hosts.reserve(most_hosts);
    const domain_id leading = this->leading_domain(query, now);
    place_row& row = this->place(leading, query.service);
    expire(row, now);
    this->append(row, host_listing::listed, leading_hosts, result.hosts);
    this->append(row, host_listing::spare, leading_hosts - result.hosts.size(), result.hosts);
    for (const host_listing listing : {host_listing::listed, host_listing::spare}) {
        for (const domain_id domain : this->model->at(query.home).fallbacks) {
            if (domain != leading && result.hosts.size() < most_hosts) {
                this->append(this->place(domain, query.service), listing, 1, result.hosts);
            }
        }
    }
    if (result.hosts.empty()) {
        // Nothing may be named: better a host that may be gone than no answer.
        result.hosts.assign(row.order.begin(),
                            row.order.begin() + static_cast<std::ptrdiff_t>(
                                                    std::min(most_hosts, row.order.size())));
    }
    const double fill = leading == query.home ? row.known.load : this->fill_of(row, query.service);
    const double span = static_cast<double>((longest_max_age - shortest_max_age).count());
    const double free = 1.0 - std::clamp(fill, 0.0, 1.0);
    const auto more = static_cast<std::int64_t>(std::floor(span * free));
    result.max_age = shortest_max_age + std::chrono::seconds{more};
    promise(row, result.max_age, now);
    return result;
}

request_rate lookup_policy::promised(domain_id domain, service_id service, time_point now)
{
    place_row& row = this->place(domain, service);
    expire(row, now);
    return this->answer_rates.at(service.index()) * static_cast<double>(row.outstanding);
}

} // namespace bth::steering
