// Which entry hosts a caller should use for a service, and for how long it may keep the answer.
//
// The hosts of the caller's own failure domain come first, led by the owner of the service's
// targets, so that the common case has no hop; the home's hosts decide about spilling elsewhere.
// Only if every host of the home is leaving, drained or silent, a fallback domain leads: the
// nearest one whose room isn't yet promised. Every answer is promised load until its max-age has
// passed, and a lower priority is led on earlier. The fuller the leading domain, the shorter its
// answers live.
//
//   lookup_policy policy;
//   policy.configure(model);
//   policy.set_host(host, {host_listing::listed, 1.0});          // every tick
//   policy.set_place(domain, service, {owner, request_rate{50}, 0.4});
//   lookup_answer answer = policy.answer(query, now);
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"
#include "bth/config/model.h"
#include "bth/steering/events.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace bth::steering {

// Whether answers may name a host.
enum class host_listing : std::uint8_t {
    listed,
    spare,    // After the listed ones of its domain: nothing is known of it.
    unlisted, // Leaving, drained or silent.
};

struct lookup_host {
    host_listing listing{host_listing::spare};
    // The part of its answers that a host which has just started leads, from 0 to 1.
    double ramp{1.0};
};

// What is known of a service in a failure domain.
struct lookup_place {
    std::optional<host_id> owner;
    // What the domain can still take of this service, as known here.
    request_rate room;
    // Load over capacity, from 0 to 1.
    double load{};
};

class lookup_policy {
public:
    static constexpr std::chrono::seconds longest_max_age{5};
    static constexpr std::chrono::seconds shortest_max_age{1};
    static constexpr std::size_t most_hosts = 4;

    // Takes a configuration into force; forgets what was set and promised.
    void configure(std::shared_ptr<const config::model> next);
    void set_host(host_id host, const lookup_host& known);
    void set_place(domain_id domain, service_id service, const lookup_place& known);
    // The requests per second that one kept answer for `service` brings.
    void set_answer_rate(service_id service, request_rate rate);

    lookup_answer answer(const lookup_query& query, time_point now);

    // The requests per second that answers which may still be kept lead to a domain.
    request_rate promised(domain_id domain, service_id service, time_point now);

private:
    // Answers by the second of their end: one place more than the longest max-age has seconds.
    static constexpr std::size_t promise_slots = 7;
    struct place_row {
        lookup_place known;
        std::array<std::uint32_t, promise_slots> ending{};
        std::int64_t second{};
        std::uint32_t outstanding{};
        // The domain's hosts in the stable order of this service.
        std::vector<host_id> order;
    };

    place_row& place(domain_id domain, service_id service);
    static void expire(place_row& row, time_point now);
    static void promise(place_row& row, std::chrono::seconds max_age, time_point now);
    bool has(const place_row& row, host_listing listing) const;
    void append(const place_row& row, host_listing listing, std::size_t most,
                std::vector<host_id>& hosts);
    bool leads_now(host_id host);
    domain_id leading_domain(const lookup_query& query, time_point now);
    std::optional<domain_id> domain_with_room(const lookup_query& query, time_point now);
    double fill_of(const place_row& row, service_id service) const;

    std::shared_ptr<const config::model> model;
    std::vector<lookup_host> hosts;
    std::vector<place_row> places;
    std::vector<request_rate> answer_rates;
    // Steps through the unit interval evenly, so that a ramp's share is exact without chance.
    double ramp_step{};
};

} // namespace bth::steering
