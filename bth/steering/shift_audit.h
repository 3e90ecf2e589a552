// Checks the shift cap from outside: told of every request that any failure domain has run, it
// finds out by itself which of them were shifts, and whether any window holds more than the cap.
// It knows nothing of owners, restarts and takeovers; tests and benches feed it from all domains.
//
//   shift_audit audit{model, start};
//   audit.served(service, serving_domain, home, now);
//   for (const violation& each : audit.found()) { ... }
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

    // A request of a caller of `home` went to a target in `domain`. Times never fall.
    void served(service_id service, domain_id domain, domain_id home, time_point now);

    // Windows with more shifts than the cap: in one domain, or of the whole service.
    const violations& found() const { return this->violated; }
    // Shifts so far.
    std::uint64_t shifts() const { return this->shift_count; }

private:
    // Counts by slice from the start.
    using counts = std::vector<std::uint32_t>;
    struct pair_row {
        counts served;
        counts moved;
    };
    using pair_key = std::pair<domain_id, domain_id>;

    std::size_t slice_of(service_id service, time_point now) const;
    static std::uint64_t sum(const counts& of, std::size_t last, std::size_t slices,
                             std::size_t back = 0);
    bool is_shift(const pair_row& row, std::size_t slice) const;
    void check_domain(service_id service, domain_id domain, std::size_t slice);
    void check_service(service_id service, std::size_t slice);
    // Requests of callers of `home`, wherever they ran, in the fuller of the last two windows.
    std::uint64_t traffic(service_id service, domain_id home, std::size_t slice) const;
    std::uint64_t moved(service_id service, domain_id domain, std::size_t slice) const;

    std::shared_ptr<const config::model> model;
    time_point start;
    // By service, then by serving domain and home.
    std::vector<std::map<pair_key, pair_row>> rows;
    violations violated;
    std::uint64_t shift_count{};
};

} // namespace bth::steering
