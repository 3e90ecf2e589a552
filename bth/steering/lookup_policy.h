// Selects the entry hosts that a caller should use for a service, and how long the caller may cache
// the answer.
//
// An answer names the hosts of the caller's own (home) failure domain first, starting with the
// owner of the service's targets, so that requests usually aren't forwarded. The hosts of the home
// domain decide whether requests go to other domains. Only if every host of the home domain is
// leaving, drained or silent does an answer start with a fallback domain: the nearest one whose
// capacity isn't used up by the load expected from earlier answers. An answer counts as expected
// load until its max-age has passed. Lower priorities may use a smaller share of that capacity, so
// they move on to the next domain earlier. The higher the utilization of the first domain, the
// shorter the max-age.
//
//   lookup_policy policy;
//   policy.configure(model);
//   policy.set_host(host, {host_listing::listed, 1.0});          // every tick
//   policy.set_domain_service(domain, service, {owner, request_rate{50}, 0.4});
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
    last_resort, // Named after the listed hosts of its domain; its state is unknown.
    unlisted,    // Not named; leaving, drained or silent.
};

struct lookup_host {
    host_listing listing{host_listing::last_resort};
    // The share, from 0 to 1, of the answers starting with this host in which it keeps the first
    // position. Less than 1 for a host that has recently started.
    double ramp{1.0};
};

// The state of a service in a failure domain, as known to this host.
struct domain_service_state {
    std::optional<host_id> owner;
    // The request rate of this service that the domain can still accept.
    request_rate available_rate;
    // Load over capacity, from 0 to 1.
    double load{};
};

class lookup_policy {
public:
    static constexpr std::chrono::seconds longest_max_age{5};
    static constexpr std::chrono::seconds shortest_max_age{1};
    static constexpr std::size_t max_hosts = 4;

    // Applies a configuration. Discards all states that were set and all earlier answers.
    void configure(std::shared_ptr<const config::model> next);
    void set_host(host_id host, const lookup_host& state);
    void set_domain_service(domain_id domain, service_id service,
                            const domain_service_state& state);
    // Sets the request rate to expect for each unexpired lookup answer for `service`, because a
    // caller caches the answer and sends requests until it expires.
    void set_answer_rate(service_id service, request_rate rate);

    lookup_answer answer(const lookup_query& query, time_point now);

    // Returns the request rate that a domain can expect from the unexpired answers that start with
    // it.
    request_rate expected_rate(domain_id domain, service_id service, time_point now);

private:
    // Unexpired answers are counted by the second in which they expire. There must be more slots
    // than longest_max_age has seconds, because the current second needs one too.
    static constexpr std::size_t expiry_slots = 7;
    struct domain_service_row {
        domain_service_state state;
        std::array<std::uint32_t, expiry_slots> expiring_answers{};
        std::int64_t first_unexpired_second{};
        std::uint32_t unexpired_answers{};
        // The domain's hosts in rendezvous order for this service.
        std::vector<host_id> order;
    };

    domain_service_row& domain_service(domain_id domain, service_id service);
    static void expire_answers(domain_service_row& row, time_point now);
    static void record_answer(domain_service_row& row, std::chrono::seconds max_age,
                              time_point now);
    bool has_host(const domain_service_row& row, host_listing listing) const;
    void append(const domain_service_row& row, host_listing listing, std::size_t max_count,
                std::vector<host_id>& hosts);
    bool should_lead(host_id host);
    domain_id leading_domain(const lookup_query& query, time_point now);
    std::optional<domain_id> domain_with_capacity(const lookup_query& query, time_point now);
    double utilization_of(const domain_service_row& row, service_id service) const;

    std::shared_ptr<const config::model> model;
    std::vector<lookup_host> hosts;
    std::vector<domain_service_row> domain_services;
    std::vector<request_rate> answer_rates;
    // Advances evenly through the unit interval, so that a ramp's share is met without randomness.
    double ramp_position{};
};

} // namespace bth::steering
