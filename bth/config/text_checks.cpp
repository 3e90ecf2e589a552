#include "bth/config/text_checks.h"

#include "bth/config/internal/drain_checks.h"
#include "bth/config/internal/text_place.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bth::config {

namespace {

// One text under check.
struct checked_text {
    const model& read;
    const json_document& document;
    findings& found;
};

std::string quoted(const std::string& name)
{
    return "\"" + name + "\"";
}

std::string line_of(const source_place& place)
{
    return "line " + std::to_string(place.line);
}

// Reports a second row with the same endpoint.
class endpoint_check {
public:
    explicit endpoint_check(checked_text& text) : text{&text} {}

    void use(const endpoint& where, const char* section, std::size_t row, const char* key)
    {
        if (where == endpoint{}) {
            return;
        }
        const auto [known, added] = this->uses.emplace(where, use_place{section, row, key});
        if (added) {
            return;
        }
        const use_place& first = known->second;
        const auto first_place =
            place_of_row(this->text->document, first.section, first.row, first.key);
        this->text->found.add(place_of_row(this->text->document, section, row, key),
                              "the endpoint " + to_string(where) + " stands twice",
                              "an endpoint of its own; " + line_of(first_place) + " has it first");
    }

private:
    struct use_place {
        const char* section;
        std::size_t row;
        const char* key;
    };

    checked_text* text;
    std::map<endpoint, use_place> uses;
};

void check_endpoints(checked_text& text)
{
    endpoint_check check{text};
    for (std::size_t row = 0; row < text.read.hosts.size(); ++row) {
        check.use(text.read.hosts.at(row).http, "hosts", row, "http");
        check.use(text.read.hosts.at(row).peer, "hosts", row, "peer");
    }
    for (std::size_t row = 0; row < text.read.targets.size(); ++row) {
        check.use(text.read.targets.at(row).http, "targets", row, "http");
    }
}

// Looks at two blocks of which the first holds the second.
void check_nested(checked_text& text, std::size_t outer, std::size_t inner)
{
    const client_block& holds = text.read.client_blocks.at(outer);
    const client_block& held = text.read.client_blocks.at(inner);
    const auto place = place_of_row(text.document, "client_blocks", inner, "block");
    const auto other = line_of(place_of_row(text.document, "client_blocks", outer, "block"));
    if (holds.block == held.block) {
        text.found.add(place, "the client block " + to_string(held.block) + " stands twice",
                       "each block once; " + other + " has it first");
    }
    else if (holds.domain == held.domain) {
        text.found.add_warning(place,
                               "the client block " + to_string(held.block) + " lies in " +
                                   to_string(holds.block) + " of the same failure domain",
                               "one of the two; the other stands in " + other);
    }
}

void check_client_blocks(checked_text& text)
{
    const auto& blocks = text.read.client_blocks;
    std::vector<std::size_t> order(blocks.size());
    for (std::size_t row = 0; row < order.size(); ++row) {
        order.at(row) = row;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return blocks.at(a).block < blocks.at(b).block;
    });
    // The blocks that hold the present one, the widest first.
    std::vector<std::size_t> enclosing;
    for (const std::size_t row : order) {
        const ipv4_block& block = blocks.at(row).block;
        while (!enclosing.empty() && !contains(blocks.at(enclosing.back()).block, block.address)) {
            enclosing.pop_back();
        }
        if (!enclosing.empty()) {
            check_nested(text, enclosing.back(), row);
        }
        enclosing.push_back(row);
    }
}

void warn_of_zero(checked_text& text, const capacity& cap, const char* section, std::size_t row)
{
    if (cap.rate.value() <= 0 || cap.in_flight == 0) {
        text.found.add_warning(place_of_row(text.document, section, row, "cap"),
                               "a cap of zero lets no request through",
                               "more than zero, or a drain");
    }
}

void check_zero_caps(checked_text& text)
{
    for (std::size_t row = 0; row < text.read.regions.size(); ++row) {
        warn_of_zero(text, text.read.regions.at(row).cap, "regions", row);
    }
    for (std::size_t row = 0; row < text.read.domains.size(); ++row) {
        warn_of_zero(text, text.read.domains.at(row).cap, "failure_domains", row);
    }
    for (std::size_t row = 0; row < text.read.links.size(); ++row) {
        if (text.read.links.at(row).cap.value() <= 0) {
            text.found.add_warning(place_of_row(text.document, "links", row, "megabits_per_second"),
                                   "a cap of zero lets no request over the link",
                                   "more than zero, or no link");
        }
    }
}

void check_priorities(checked_text& text)
{
    for (std::size_t row = 0; row < text.read.services.size(); ++row) {
        const Json::Value& service =
            text.document.root()["services"][static_cast<Json::ArrayIndex>(row)];
        if (!service.isObject() || !service["priority"].isObject()) {
            continue;
        }
        for (const caller_class& each : text.read.classes) {
            if (!each.name.empty() && !service["priority"].isMember(each.name)) {
                text.found.add_warning(place_of_row(text.document, "services", row, "priority"),
                                       "caller class " + quoted(each.name) +
                                           " has no priority here: it is served last",
                                       "a priority for each caller class");
            }
        }
    }
}

void check_public_class(checked_text& text)
{
    const auto keyless =
        std::count_if(text.read.classes.begin(), text.read.classes.end(),
                      [](const caller_class& each) { return each.key_sha256.empty(); });
    if (keyless != 1) {
        text.found.add(text.document.place_of(text.document.root()["caller_classes"]),
                       std::to_string(keyless) + " caller classes have no \"key_sha256\"",
                       "exactly one, the class of callers who prove nothing");
    }
}

void check_region_caps(checked_text& text)
{
    constexpr double tolerance = 1e-6;
    for (std::size_t row = 0; row < text.read.regions.size(); ++row) {
        const region& region = text.read.regions.at(row);
        double rate = 0;
        std::uint64_t in_flight = 0;
        for (const failure_domain& domain : text.read.domains) {
            if (domain.region.index() == row) {
                rate += domain.cap.rate.value();
                in_flight += domain.cap.in_flight;
            }
        }
        if (rate > region.cap.rate.value() + tolerance || in_flight > region.cap.in_flight) {
            text.found.add(place_of_row(text.document, "regions", row, "cap"),
                           "the caps of the failure domains of region " + quoted(region.name) +
                               " exceed its own",
                           "domain caps whose sum is at most the region's cap");
        }
    }
}

// Whether a service depends on itself by way of others.
class cycle_search {
public:
    explicit cycle_search(const model& read) : read{&read} {}

    bool in_cycle(service_id self)
    {
        this->seen.clear();
        const auto& next = this->read->at(self).depends_on;
        return std::any_of(next.begin(), next.end(), [&](const dependency& each) {
            return this->reaches(each.service, self);
        });
    }

private:
    bool reaches(service_id from, service_id wanted)
    {
        if (from == wanted) {
            return true;
        }
        if (!this->seen.insert(from).second) {
            return false;
        }
        const auto& next = this->read->at(from).depends_on;
        return std::any_of(next.begin(), next.end(), [&](const dependency& each) {
            return this->reaches(each.service, wanted);
        });
    }

    const model* read;
    std::set<service_id> seen;
};

void check_dependency_cycles(checked_text& text)
{
    cycle_search search{text.read};
    for (std::size_t row = 0; row < text.read.services.size(); ++row) {
        if (search.in_cycle(service_id::from_index(row))) {
            text.found.add(place_of_row(text.document, "services", row, "depends_on"),
                           "service " + quoted(text.read.services.at(row).name) +
                               " depends on itself, in the end",
                           "dependencies without a cycle");
        }
    }
}

void check_services_have_targets(checked_text& text)
{
    std::set<service_id> served;
    for (const target& each : text.read.targets) {
        served.insert(each.service);
    }
    for (std::size_t row = 0; row < text.read.services.size(); ++row) {
        if (!served.contains(service_id::from_index(row))) {
            text.found.add(place_of_row(text.document, "services", row),
                           "service " + quoted(text.read.services.at(row).name) + " has no targets",
                           "at least one target, or no such service");
        }
    }
}

void check_domains_have_hosts(checked_text& text)
{
    std::set<domain_id> hosted;
    for (const entry_host& each : text.read.hosts) {
        hosted.insert(each.domain);
    }
    std::set<domain_id> with_targets;
    for (const target& each : text.read.targets) {
        with_targets.insert(each.domain);
    }
    for (std::size_t row = 0; row < text.read.domains.size(); ++row) {
        const auto id = domain_id::from_index(row);
        if (hosted.contains(id)) {
            continue;
        }
        const auto place = place_of_row(text.document, "failure_domains", row);
        const std::string name = "failure domain " + quoted(text.read.domains.at(row).name);
        if (with_targets.contains(id)) {
            text.found.add(place, name + " has no hosts, so that its targets can't be reached",
                           "at least one host in it");
        }
        else {
            text.found.add_warning(place, name + " has no hosts", "at least one host in it");
        }
    }
}

void check_fallback_link(checked_text& text, std::size_t row, domain_id fallback)
{
    const region_id home = text.read.domains.at(row).region;
    const region_id other = text.read.at(fallback).region;
    const bool linked =
        home == other || (find_link(text.read, home, other) && find_link(text.read, other, home));
    if (!linked) {
        text.found.add(place_of_row(text.document, "failure_domains", row, "fallbacks"),
                       "the fallback " + quoted(text.read.at(fallback).name) +
                           " can't be reached: its region is not linked both ways",
                       "links " + text.read.at(home).name + " to " + text.read.at(other).name +
                           " and back");
    }
}

void check_fallbacks(checked_text& text)
{
    for (std::size_t row = 0; row < text.read.domains.size(); ++row) {
        std::set<domain_id> listed;
        for (const domain_id fallback : text.read.domains.at(row).fallbacks) {
            check_fallback_link(text, row, fallback);
            if (!listed.insert(fallback).second) {
                text.found.add(place_of_row(text.document, "failure_domains", row, "fallbacks"),
                               "the fallback " + quoted(text.read.at(fallback).name) +
                                   " stands twice",
                               "each fallback once");
            }
        }
    }
}

} // namespace

void check_values(const model& read, const json_document& document, findings& found)
{
    checked_text text{read, document, found};
    check_endpoints(text);
    check_client_blocks(text);
    check_zero_caps(text);
    check_priorities(text);
    check_public_class(text);
}

void check_relations(const model& read, const json_document& document, findings& found)
{
    checked_text text{read, document, found};
    check_region_caps(text);
    check_dependency_cycles(text);
    check_services_have_targets(text);
    check_domains_have_hosts(text);
    check_fallbacks(text);
    check_drains(read, document, found);
}

} // namespace bth::config
