// The configuration of the gateway in highest-version mode, where the configuration with the
// highest version is in force: routes by host and path prefix, the services that serve them, and
// the limits for callers. check() returns what prevents a configuration from being used.
//
//   configuration next = ...;
//   findings found = check(next, "configuration");
//   if (!found.has_errors()) { table = route_table{std::move(next)}; }
//   const route* matched_route = table.find("shop.example", "/orders/7");
#pragma once

#include "bth/base/finding.h"
#include "bth/base/strong_id.h"
#include "bth/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bth::route {

// The version of a configuration. The highest version is in force; 0 is lower than any other.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

// How often a request of a caller may be executed.
enum class repeatability : std::uint8_t {
    idempotent,   // It may be executed more than once.
    at_most_once, // It must not be executed more than once.
};

// The share of a route's requests that one service gets: its weight divided by the sum of all.
struct service_share {
    std::string service;
    double weight{};
    friend bool operator==(const service_share&, const service_share&) = default;
};

struct route {
    std::string name;
    std::string host;
    // Starts and ends with a slash.
    std::string path_prefix;
    repeatability repeat{repeatability::at_most_once};
    // The longest time until a request gets its final answer.
    duration timeout{};
    // The latency objective: the time within which an answer is of full use to the caller.
    duration objective{};
    // 0 is the most urgent.
    std::uint32_t priority{};
    std::vector<service_share> split;
    // The largest number of targets that one request may be sent to.
    std::uint32_t max_attempts{1};
    // Whether targets are faster for an object that they have handled recently.
    bool sticky{};
    // The regions that may serve requests; all regions if empty.
    std::vector<std::string> allowed_regions;
    // Whether callers need no key, where the configuration names customers.
    bool is_public{};
};

// Who sends requests, under one of several keys.
struct customer {
    std::string name;
    // Callers prove by any of these that they send for the customer. Never logged.
    std::vector<std::string> access_keys;
    // 0 is the most urgent. It goes before the priority of the route.
    std::uint32_t priority{};
    // The requests per second, and the burst beyond them, that all hosts together accept; no limit
    // if the rate is 0.
    double rate{};
    double burst{};
    // The regions that may serve requests, store them or pass them on; all regions if empty.
    std::vector<std::string> allowed_regions;
};

struct service {
    std::string name;
    std::string health_path;
    // The number of connections that one target accepts from all hosts together.
    std::uint32_t connection_limit{};
    // How long a target stays cold after its start, and how many requests per second it accepts
    // until then.
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
    // Requests on routes that aren't public need a key of one of these customers. Nothing if
    // callers need no key.
    std::optional<std::vector<customer>> customers{};
};

// Returns everything that is wrong with a configuration, empty if it can be used. `source_name` is
// the name of the configuration in the findings.
findings check(const configuration& checked, const std::string& source_name);

// Finds the route of a request.
class route_table {
public:
    route_table() = default;
    explicit route_table(configuration config);

    // Returns the route of `host` with the longest prefix of `path`, or null if none matches.
    const route* find(std::string_view host, std::string_view path) const;
    // Returns the service with that name, or null.
    const service* find_service(std::string_view name) const;
    // Returns the configuration that the table was built from.
    const configuration& source_configuration() const { return this->config; }
    // Returns the number of priorities that routes have, counted from the most urgent one.
    std::uint32_t priority_levels() const { return this->levels; }

private:
    configuration config;
    // The indexes of routes in `config` by host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
    // The indexes of services in `config` by name.
    std::map<std::string, std::size_t, std::less<>> services_by_name;
    std::uint32_t levels{1};
};

} // namespace bth::route
