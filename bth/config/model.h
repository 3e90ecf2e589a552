// The checked model of the operators' text: tables of regions, failure domains, links, hosts,
// caller classes, services, targets and client blocks. A model is only made by the reader in
// bth/config/text.h, so every id in it names an existing row.
//
//   const model& m = ...;
//   for (const target& each : m.targets) { use(m.at(each.service).name); }
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/base/units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bth::config {

// The most that a region or failure domain may carry.
struct capacity {
    request_rate rate;
    std::uint32_t in_flight{};
};

struct region {
    std::string name;
    // The caps of a region's failure domains together never exceed its own.
    capacity cap;
};

struct failure_domain {
    std::string name;
    region_id region;
    capacity cap;
    // The failure domains that may serve this one's callers, nearest first.
    std::vector<domain_id> fallbacks;
};

// One direction of the connection between two regions.
struct link {
    region_id from;
    region_id to;
    link_rate cap;
    // One-way delay.
    std::chrono::microseconds delay{};
};

// A host that runs bth-entry.
struct entry_host {
    std::string name;
    domain_id domain;
    // Where callers connect.
    endpoint http;
    // Where other entry hosts connect.
    endpoint peer;
};

struct caller_class {
    std::string name;
    // SHA-256 of the key that proves the class, as 64 hexadecimal digits. Empty for the class of
    // callers who prove nothing; exactly one class is such.
    std::string key_sha256;
};

// A dependency: each request of the dependant makes `fan_out` requests to `service`.
struct dependency {
    service_id service;
    double fan_out{1.0};
};

// At most `part` of a service's traffic may change its serving failure domain within `window`.
struct shift_cap {
    share part{0.1};
    std::chrono::seconds window{60};
};

struct service {
    std::string name;
    std::vector<dependency> depends_on;
    // The priority that each caller class has bought, by class_id.
    std::vector<priority_level> priority;
    shift_cap shift;
    // Retries as a share of first tries.
    share retry_budget{0.1};
    // The deadline of a request that states none.
    std::chrono::milliseconds default_timeout{2000};
    // Usual sizes of one request and its answer; they turn request rates into link bytes.
    byte_count request_bytes{};
    byte_count answer_bytes{};
    // The usual time that a warm target takes for one request.
    std::chrono::microseconds service_time{};
    // Methods beyond the safe ones that may be repeated, such as "PUT".
    std::vector<std::string> repeatable_methods;
};

struct target {
    std::string name;
    service_id service;
    domain_id domain;
    endpoint http;
    // Requests that it serves at once.
    std::uint32_t slots{};
    // Connections that it accepts.
    std::uint32_t connections{};
};

// Callers whose address lies in `block` belong to `domain`.
struct client_block {
    ipv4_block block;
    domain_id domain;
};

// What a drain names.
using drain_subject = std::variant<target_id, host_id, domain_id, region_id>;

// An announced drain: from `from` on, the subject gets no new work.
struct drain {
    drain_subject subject;
    wall_time from;
};

struct model {
    std::vector<region> regions;
    std::vector<failure_domain> domains;
    std::vector<link> links;
    std::vector<entry_host> hosts;
    std::vector<caller_class> classes;
    std::vector<service> services;
    std::vector<target> targets;
    std::vector<client_block> client_blocks;
    std::vector<drain> drains;
    // The class of callers who prove nothing.
    class_id public_class;

    const region& at(region_id id) const { return this->regions.at(id.index()); }
    const failure_domain& at(domain_id id) const { return this->domains.at(id.index()); }
    const link& at(link_id id) const { return this->links.at(id.index()); }
    const entry_host& at(host_id id) const { return this->hosts.at(id.index()); }
    const caller_class& at(class_id id) const { return this->classes.at(id.index()); }
    const service& at(service_id id) const { return this->services.at(id.index()); }
    const target& at(target_id id) const { return this->targets.at(id.index()); }
};

// The row whose name is `name`, or nothing.
std::optional<region_id> find_region(const model& in, std::string_view name);
std::optional<domain_id> find_domain(const model& in, std::string_view name);
std::optional<host_id> find_host(const model& in, std::string_view name);
std::optional<class_id> find_class(const model& in, std::string_view name);
std::optional<service_id> find_service(const model& in, std::string_view name);
std::optional<target_id> find_target(const model& in, std::string_view name);

// The link that leads from one region to another, or nothing, as within one region.
std::optional<link_id> find_link(const model& in, region_id from, region_id to);

} // namespace bth::config
