// The configuration in highest-version mode: routes by host and path prefix, the services that they
// lead to, and the limits for callers. check() tells whether it can be used.
//
//   configuration next = ...;
//   findings found = check(next, "configuration");
//   if (!found.has_errors()) { table = route_table{std::move(next)}; }
//   const route* way = table.find("shop.example", "/orders/7");
#pragma once

#include "bth/base/finding.h"
#include "bth/base/strong_id.h"
#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bth::route {

// The number of a configuration. Of two, the higher one is in force; 0 comes before all.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

// What may happen to one request of a caller.
enum class repeatability : std::uint8_t {
    idempotent,   // It may run more than once.
    at_most_once, // It may run once.
};

// One part of a route's requests.
struct service_share {
    std::string service;
    double weight{};
};

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    repeatability repeat{repeatability::at_most_once};
    // The longest time that a request is kept waiting for its final answer.
    duration timeout{};
    // The time within which an answer is of full use to the caller.
    duration objective{};
    // 0 is served first.
    std::uint32_t priority{};
    std::vector<service_share> split;
    // To how many targets one request may be sent.
    std::uint32_t max_attempts{1};
    // Targets work faster on an object that they have handled lately.
    bool sticky{};
    // Where requests may be served; anywhere if empty.
    std::vector<std::string> allowed_regions;
};

struct service {
    std::string name;
    std::string health_path;
    // The connections that one target accepts from all hosts together.
    std::uint32_t connection_limit{};
    // How long a target stays cold after its start, and the requests per second it bears meanwhile.
    duration cold_time{};
    double cold_rate{};
};

struct caller_limits {
    std::uint64_t header_bytes{};
    std::uint64_t body_bytes{};
    duration header_timeout{};
    duration idle_timeout{};
};

struct configuration {
    config_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
};

// Everything that is wrong with a configuration; `source` names it in the findings.
findings check(const configuration& what, const std::string& source);

// Finds the route of a request.
class route_table {
public:
    route_table() = default;
    explicit route_table(configuration from);

    // The route of that host with the longest prefix of `path`, or null.
    const route* find(std::string_view host, std::string_view path) const;
    const service* find_service(std::string_view name) const;
    const configuration& source() const { return this->from; }

private:
    configuration from;
    // Rows of `from` by host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
    std::map<std::string, std::size_t, std::less<>> services;
};

} // namespace bth::route
