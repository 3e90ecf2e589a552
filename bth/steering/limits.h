// The fixed split of every cap into parts that one owner can enforce alone.
//
// The cap of a failure domain is split over its services, and each direction of a link over the
// (domain, service) pairs whose requests or answers it carries. The parts of a cap never sum above
// it, so no owner needs to know what the others use. The caps of a region's domains never exceed
// that of the region, which the reader of the operators' text checks.
//
//   const limits own{model, domain};
//   const room most = own.part(service);
//   const link_room bytes = own.link(service, region_of_the_source);
#pragma once

#include "bth/base/ids.h"
#include "bth/base/units.h"
#include "bth/config/model.h"

#include <cstdint>
#include <vector>

namespace bth::steering {

// Requests per second and requests in flight.
struct room {
    request_rate rate;
    std::uint32_t in_flight{};
};

// Bytes per second between two regions, seen from the domain that serves: requests come in, answers
// go out.
struct link_room {
    link_rate request_bytes;
    link_rate answer_bytes;
};

// What an owner of targets in one failure domain may use.
class limits {
public:
    // Parts of nothing.
    limits() = default;
    // The parts of `own`. Requests per second are split by what the targets of each service can
    // serve in a second when warm (slots / service time), requests in flight by their slots, and
    // link bytes by that rate times the usual sizes of the service.
    limits(const config::model& in, domain_id own);

    // The part of the domain's cap that belongs to `service`; zero if it has no targets there.
    room part(service_id service) const;

    // The part of the links from and to `source` that belongs to `service` here. Zero for a region
    // without a link to this one. Meaningless for the domain's own region: ask is_local first.
    link_room link(service_id service, region_id source) const;

    // Whether a source in `source` is reached without a link.
    bool is_local(region_id source) const { return source == this->region; }

private:
    region_id region;
    std::size_t region_count{};
    std::vector<room> parts;
    std::vector<link_room> links;
};

} // namespace bth::steering
