#include "bth/entry/lookup.h"

#include <chrono>

namespace bth::entry {

namespace {

constexpr unsigned http_1_1 = 11;
constexpr duration default_retry_after = std::chrono::seconds{1};

// Returns the value of the parameter "service" in the query of `path`, or an empty text.
std::string_view service_parameter(std::string_view path)
{
    constexpr std::string_view name = "service=";
    const auto query_start = path.find('?');
    std::string_view rest =
        query_start == std::string_view::npos ? "" : path.substr(query_start + 1);
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

// Names are written without JSON escaping, as those of the configuration are expected to need none.
// The configuration reader doesn't reject names that do; such a name makes the response malformed.
std::string to_json(const configuration_index& configuration, const steering::lookup_answer& found,
                    domain_id domain, std::string_view key_prefix)
{
    std::string out = R"({"hosts":[)";
    for (const host_id each : found.hosts) {
        out += out.back() == '[' ? "\"" : ",\"";
        out += to_string(configuration.model().at(each).http) + '"';
    }
    out += R"(],"domain":")" + configuration.model().at(domain).name + R"(","revision":)" +
           std::to_string(configuration.revision_number().value()) + R"(,"idempotency_prefix":")" +
           std::string{key_prefix} + "\"}\n";
    return out;
}

} // namespace

full_response handle_lookup(steering_driver& driver, const configuration_index& configuration,
                            ipv4_address from, std::string_view path, std::string_view key,
                            std::string_view key_prefix)
{
    const auto service = configuration.find_service(service_parameter(path));
    if (!service) {
        return make_refusal_response(http_1_1, refusal_reason::unknown_service, run_state::no,
                                     default_retry_after);
    }
    const domain_id domain = configuration.domain_of(from);
    const auto found = driver.lookup({domain, *service, configuration.class_for_key(key)});
    if (found.hosts.empty()) {
        return make_refusal_response(http_1_1, refusal_reason::no_target, run_state::no,
                                     default_retry_after);
    }
    full_response response{http::status::ok, http_1_1};
    response.set(http::field::content_type, "application/json");
    response.set(http::field::cache_control,
                 "private, max-age=" + std::to_string(found.max_age.count()));
    response.body() = to_json(configuration, found, domain, key_prefix);
    return response;
}

} // namespace bth::entry
