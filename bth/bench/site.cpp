#include "bth/bench/site.h"

#include "bth/config/text.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace bth::bench {

namespace {

constexpr double microseconds_per_second = 1e6;

delays delays_of(const std::string& name)
{
    using std::chrono::microseconds;
    if (name == "midlands") {
        return {microseconds{100}, microseconds{500}, microseconds{8000}};
    }
    return {microseconds{100}, microseconds{1000}, microseconds{1000}};
}

} // namespace

tl::expected<site, findings> load_site(const std::string& name)
{
    const std::string path = "examples/" + name + "/site.json";
    const std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    auto read = config::read_text(path, text.str());
    if (!read) {
        return tl::unexpected(read.error());
    }
    for (config::service& each : read->services) {
        each.shift.window = bench_shift_window;
    }
    return site{name, std::make_shared<const config::model>(std::move(*read)), delays_of(name)};
}

std::vector<std::string> site_names()
{
    return {"midlands", "ogunleye"};
}

request_rate target_capacity(const config::model& model, domain_id domain, service_id service)
{
    double slots = 0;
    for (const config::target& each : model.targets) {
        if (each.domain == domain && each.service == service) {
            slots += each.slots;
        }
    }
    const auto time = static_cast<double>(model.at(service).service_time.count());
    return request_rate{slots * microseconds_per_second / time};
}

request_rate full_load(const config::model& model, domain_id domain, service_id service)
{
    double rate = target_capacity(model, domain, service).value();
    for (std::size_t index = 0; index < model.services.size(); ++index) {
        const auto dependant = service_id::from_index(index);
        for (const config::dependency& each : model.at(dependant).depends_on) {
            if (each.service == service) {
                rate -= target_capacity(model, domain, dependant).value() * each.fan_out;
            }
        }
    }
    return request_rate{std::max(rate, 0.0)};
}

} // namespace bth::bench
