// Checks the shift cap independently of the shift limiters. From every request that any failure
// domain has served, it determines which of them were shifts, and whether any window holds more
// shifts than the cap allows. It doesn't depend on owners, restarts and takeovers. Tests record
// the requests of all domains.
//
//   shift_audit audit{model, start};
//   audit.record_request(service, serving_domain, home, now);
//   for (const violation& each : audit.found_violations()) { ... }
#pragma once

#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/config/model.h"
#include "bth/steering/invariants.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace bth::steering {

class shift_audit {
public:
    shift_audit(std::shared_ptr<const config::model> given, time_point start);

    // Records that a target in `domain` served a request of a caller whose home is `home`. `now`
    // must not be less than in earlier calls.
    void record_request(service_id service, domain_id domain, domain_id home, time_point now);

    // Returns one entry for each shift that made a window exceed the cap: the cap of one domain, or
    // that of the whole service.
    const violations& found_violations() const { return this->violated; }
    // Returns the number of shifts since the start.
    std::uint64_t shifts() const { return this->shift_count; }

private:
    // Numbers of requests by slice; the first slice contains the start.
    using slice_counts = std::vector<std::uint32_t>;
    struct pair_counts {
        slice_counts served;
        slice_counts shifted;
    };
    using domain_pair = std::pair<domain_id, domain_id>;

    std::size_t slice_of(service_id service, time_point now) const;
    static std::uint64_t sum(const slice_counts& counts, std::size_t newest,
                             std::size_t slice_count, std::size_t offset = 0);
    bool is_shift(const pair_counts& row, std::size_t slice) const;
    void check_domain(service_id service, domain_id domain, std::size_t slice);
    void check_service(service_id service, std::size_t slice);
    // Returns the number of requests of callers of `home`, in all serving domains, in the one of
    // the last two windows that has more of them.
    std::uint64_t recent_traffic(service_id service, domain_id home, std::size_t slice) const;
    std::uint64_t shifts_into(service_id service, domain_id domain, std::size_t slice) const;

    std::shared_ptr<const config::model> model;
    time_point start;
    // By service, then by pair of serving domain and home.
    std::vector<std::map<domain_pair, pair_counts>> counts_by_service;
    violations violated;
    std::uint64_t shift_count{};
};

} // namespace bth::steering
