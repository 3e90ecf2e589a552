#include "bth/config/internal/drain_checks.h"

#include "bth/config/internal/text_place.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

namespace bth::config {

namespace {

std::string percent(double part)
{
    constexpr double whole = 100;
    return std::to_string(std::lround(part * whole)) + "%";
}

// The things that the drains of a text take away together.
struct drained_sets {
    std::set<domain_id> domains;
    std::set<target_id> targets;
};

// The drained failure domains and targets, those of drained regions and domains included.
drained_sets collect(const model& read)
{
    drained_sets out;
    std::set<region_id> regions;
    for (const drain& each : read.drains) {
        if (const auto* region = std::get_if<region_id>(&each.subject)) {
            regions.insert(*region);
        }
        else if (const auto* domain = std::get_if<domain_id>(&each.subject)) {
            out.domains.insert(*domain);
        }
        else if (const auto* target = std::get_if<target_id>(&each.subject)) {
            out.targets.insert(*target);
        }
    }
    for (std::size_t row = 0; row < read.domains.size(); ++row) {
        if (regions.contains(read.domains.at(row).region)) {
            out.domains.insert(domain_id::from_index(row));
        }
    }
    for (std::size_t row = 0; row < read.targets.size(); ++row) {
        if (out.domains.contains(read.targets.at(row).domain)) {
            out.targets.insert(target_id::from_index(row));
        }
    }
    return out;
}

void check_repeated(const model& read, const json_document& document, findings& found)
{
    std::set<drain_subject> seen;
    for (std::size_t row = 0; row < read.drains.size(); ++row) {
        if (!seen.insert(read.drains.at(row).subject).second) {
            found.add(place_of_row(document, "drains", row), "this drain stands twice",
                      "each thing drained once");
        }
    }
}

// The part of a service's slots that is drained.
double drained_part(const model& read, const drained_sets& drained, service_id service)
{
    double all = 0;
    double gone = 0;
    for (std::size_t row = 0; row < read.targets.size(); ++row) {
        const target& each = read.targets.at(row);
        if (each.service == service) {
            all += each.slots;
            gone += drained.targets.contains(target_id::from_index(row)) ? each.slots : 0;
        }
    }
    return all > 0 ? gone / all : 0;
}

void check_services(const model& read, const drained_sets& drained, const source_place& place,
                    findings& found)
{
    for (std::size_t row = 0; row < read.services.size(); ++row) {
        const service& each = read.services.at(row);
        const double part = drained_part(read, drained, service_id::from_index(row));
        if (part >= 1) {
            found.add_warning(place,
                              "the drains leave service \"" + each.name + "\" without targets",
                              "a target that isn't drained");
        }
        else if (part > each.shift.part.value()) {
            found.add_warning(
                place,
                "the drains take " + percent(part) + " of the slots of service \"" + each.name +
                    "\", but its shift cap is " + percent(each.shift.part.value()) + " in " +
                    std::to_string(each.shift.window.count()) + " s: what is over it is refused",
                "drains in steps, or a larger shift cap");
        }
    }
}

void check_room(const model& read, const drained_sets& drained, const source_place& place,
                findings& found)
{
    for (const domain_id id : drained.domains) {
        const failure_domain& gone = read.at(id);
        request_rate room;
        for (const domain_id fallback : gone.fallbacks) {
            room +=
                drained.domains.contains(fallback) ? request_rate{} : read.at(fallback).cap.rate;
        }
        if (room < gone.cap.rate) {
            found.add_warning(place,
                              "the fallbacks of drained failure domain \"" + gone.name +
                                  "\" have a cap of " + std::to_string(std::lround(room.value())) +
                                  " requests/s, less than its own " +
                                  std::to_string(std::lround(gone.cap.rate.value())),
                              "fallbacks with at least its cap");
        }
    }
}

} // namespace

void check_drains(const model& read, const json_document& document, findings& found)
{
    if (read.drains.empty()) {
        return;
    }
    check_repeated(read, document, found);
    const drained_sets drained = collect(read);
    const source_place place = document.place_of(document.root()["drains"]);
    check_services(read, drained, place, found);
    check_room(read, drained, place, found);
}

} // namespace bth::config
