// The checks of a run, on ground truth: what the fake targets, links and callers saw, not what a
// decider's tables say. The world tells the audit each event; the audit counts what breaks a rule
// and keeps the first place of each.
#pragma once

#include "bth/base/ids.h"
#include "bth/base/reason.h"
#include "bth/base/time.h"
#include "bth/bench/shift_audit.h"
#include "bth/config/model.h"
#include "bth/steering/messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bth::bench {

enum class rule : std::uint8_t {
    in_flight_cap, // In flight at a domain's or region's targets over its cap.
    rate_cap,      // Requests started in a second over the cap of a domain or region.
    link_cap,      // Bytes given to a link in a second over its cap.
    grants,        // Own load and outstanding grants over a domain's cap or a link's.
    slots,         // A target was sent more than its slots.
    shift_cap,     // More of a service's traffic moved within a window than allowed.
    priority,      // A lower class was admitted where a higher one was refused.
    one_run,       // A request that may not be repeated ran twice.
    truthful,      // "Not run" was said of a request that ran, or it ran later.
    one_answer,    // A request with no final answer, or two.
    own_answer,    // An answer that belongs to another request.
    leaving,       // New work at a target later than two seconds after the first word.
};
inline constexpr std::size_t rule_count = 12;

std::string_view to_string(rule which);

// What breaks one rule.
struct breach {
    std::uint64_t count{};
    time_point first_at;
    std::string first;
};

class audit {
public:
    explicit audit(const config::model& model);

    // A target of `domain` starts a request of a caller of `home`.
    void started(domain_id domain, service_id service, domain_id home);
    // Requests begin or end to be at the domain's targets; own is false for those forwarded from
    // another domain.
    void in_flight(domain_id domain, int change, bool own, time_point now);
    void link_bytes(region_id from, region_id to, byte_count bytes);
    // A host grants room to another, or hands its grants of a service over to another.
    void grant(host_id from, host_id to, const steering::capacity_grant& grant, time_point now);
    void handed_over(host_id from, host_id to, service_id service);
    // A host refused or admitted a request that had waited there since `waiting_since`.
    void refused(host_id host, service_id service, priority_level level, refusal_reason reason,
                 time_point now);
    void admitted(host_id host, service_id service, priority_level level, time_point waiting_since,
                  time_point now);
    void broken(rule which, time_point now, std::string_view what);
    // Called every 100 ms of virtual time.
    void sample(time_point now);

    const breach& at(rule which) const
    {
        return this->breaches.at(static_cast<std::size_t>(which));
    }
    bool clean() const;

    // Peaks as shares of caps, since peaks were last cleared.
    struct peaks {
        double region{};
        double domain{};
        double link{};
        // The largest share of a service's shift cap that a window used.
        double shift{};
        std::uint32_t over_cap_samples{};
    };
    const peaks& peak() const { return this->most; }
    void clear_peaks() { this->most = {}; }

private:
    // Counts of the last second, in buckets of 100 ms.
    struct second_window {
        std::array<double, 10> buckets{};
        double sum() const;
    };
    struct domain_row {
        second_window starts;
        int in_flight{};
        int own_in_flight{};
    };
    struct link_row {
        second_window bytes;
    };
    struct grant_row {
        domain_id granter;
        domain_id source;
        steering::granted_capacity room;
        time_point ends;
    };

    void check_in_flight(domain_id domain, time_point now);
    void check_grants(domain_id domain, time_point now);
    void check_grant_links(time_point now);
    bool sample_capacity(time_point now);
    bool sample_links(time_point now);
    void sample_shift(time_point now);
    double region_in_flight(region_id region) const;

    const config::model& model;
    std::vector<domain_row> domains;
    std::vector<link_row> links;
    std::vector<shift_audit> shifts; // By service.
    // By granting host, service and holding host.
    std::map<std::tuple<host_id, service_id, host_id>, grant_row> grants;
    // By host, service and level: the last refusal for lack of room.
    std::map<std::tuple<host_id, service_id, priority_level>, time_point> refusals;
    std::size_t bucket{};
    std::array<breach, rule_count> breaches;
    peaks most;
};

} // namespace bth::bench
