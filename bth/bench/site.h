// The example deployments as the bench drives them: the operators' text plus what the text doesn't
// say, the delays inside a region and to the callers.
//
//   auto site = load_site("midlands");
//   double full = full_load(*site->model, domain, service).value();
#pragma once

#include "bth/base/finding.h"
#include "bth/base/time.h"
#include "bth/config/model.h"

#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace bth::bench {

// One-way delays that the text doesn't state.
struct delays {
    duration within_domain{std::chrono::microseconds{100}};
    duration between_domains{};
    duration to_callers{};
};

struct site {
    std::string name;
    std::shared_ptr<const config::model> model;
    delays delay;
};

// The shift window of the bench: scenarios of some 25 s must span several windows.
inline constexpr std::chrono::seconds bench_shift_window{5};

// Reads examples/NAME/site.json, from the source folder, and sets each service's shift window to
// bench_shift_window.
tl::expected<site, findings> load_site(const std::string& name);

// Both examples; the caller makes sure that the program runs in the source folder.
std::vector<std::string> site_names();

// What the targets of a service in a failure domain can serve in a second when warm.
request_rate target_capacity(const config::model& model, domain_id domain, service_id service);

// The rate of callers' requests at which every target is exactly busy, with the requests counted
// that the dependants' targets make.
request_rate full_load(const config::model& model, domain_id domain, service_id service);

} // namespace bth::bench
