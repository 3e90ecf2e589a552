#include "bth/entry/lookup.h"

#include <chrono>

namespace bth::entry {

namespace {

constexpr unsigned http_1_1 = 11;
constexpr duration usual_retry_after = std::chrono::seconds{1};

// The value of the parameter "service" of a path's query.
std::string_view service_parameter(std::string_view path)
{
    constexpr std::string_view name = "service=";
    const auto question = path.find('?');
    std::string_view rest = question == std::string_view::npos ? "" : path.substr(question + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view part = rest.substr(0, end);
        if (part.starts_with(name)) {
            return part.substr(name.size());
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

// Names of the configuration need no escapes in JSON: the text's reader refuses others.
std::string to_json(const site_index& site, const steering::lookup_answer& found, domain_id home,
                    std::string_view key_prefix)
{
    std::string out = R"({"hosts":[)";
    for (const host_id each : found.hosts) {
        out += out.back() == '[' ? "\"" : ",\"";
        out += to_string(site.model().at(each).http) + '"';
    }
    out += R"(],"domain":")" + site.model().at(home).name + R"(","revision":)" +
           std::to_string(site.number().value()) + R"(,"idempotency_prefix":")" +
           std::string{key_prefix} + "\"}\n";
    return out;
}

} // namespace

whole_answer answer_lookup(steering_driver& driver, const site_index& site, ipv4_address from,
                           std::string_view path, std::string_view key, std::string_view key_prefix)
{
    const auto service = site.service_named(service_parameter(path));
    if (!service) {
        return make_refusal(http_1_1, refusal_reason::unknown_service, run_state::no,
                            usual_retry_after);
    }
    const domain_id home = site.home_of(from);
    const auto found = driver.lookup({home, *service, site.class_proved_by(key)});
    if (found.hosts.empty()) {
        return make_refusal(http_1_1, refusal_reason::no_target, run_state::no, usual_retry_after);
    }
    whole_answer answer{http::status::ok, http_1_1};
    answer.set(http::field::content_type, "application/json");
    answer.set(http::field::cache_control,
               "private, max-age=" + std::to_string(found.max_age.count()));
    answer.body() = to_json(site, found, home, key_prefix);
    return answer;
}

} // namespace bth::entry
