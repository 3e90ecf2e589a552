// Splits every cap of the configuration into fixed parts, each of which one owner enforces alone.
//
// The cap of a failure domain is split over its services, and each direction of a link over the
// (domain, service) pairs whose requests or answers it carries. The parts of a cap never sum to
// more than the cap, so no owner needs to know the usage of the others. The caps of a region's
// domains never sum to more than the cap of the region; the configuration parser checks this.
//
//   const limits parts{model, domain};
//   const request_capacity capacity = parts.part(service);
//   const link_capacity bytes = parts.link(service, source_region);
#pragma once

#include "bth/base/ids.h"
#include "bth/base/units.h"
#include "bth/config/model.h"

#include <cstdint>
#include <vector>

namespace bth::steering {

// A limit on requests: per second and in flight.
struct request_capacity {
    request_rate rate;
    std::uint32_t in_flight{};
};

// A limit on the bytes per second of each direction between two regions, from the point of view of
// the serving domain: requests are received and answers are sent.
struct link_capacity {
    link_rate request_bytes;
    link_rate answer_bytes;
};

// The parts of the caps that belong to the owners of targets in one failure domain.
class limits {
public:
    // All parts are zero.
    limits() = default;
    // Computes the parts of `domain` in `model`. Requests per second are split in proportion to the
    // rate that the targets of each service serve when warm (slots / service time), requests in
    // flight in proportion to the slots, and link bytes in proportion to that rate times the usual
    // request and answer sizes of the service.
    limits(const config::model& model, domain_id domain);

    // Returns the part of the domain's cap that belongs to `service`; zero if the service has no
    // targets in the domain.
    request_capacity part(service_id service) const;

    // Returns the part of the links between the region `source` and the domain's region that
    // belongs to `service` in this domain. Zero if there is no link between the two regions. The
    // result has no meaning for the domain's own region: check is_local first.
    link_capacity link(service_id service, region_id source) const;

    // Returns whether `source` is the domain's own region, which is reached without a link.
    bool is_local(region_id source) const { return source == this->region; }

private:
    region_id region;
    std::size_t region_count{};
    std::vector<request_capacity> parts;
    std::vector<link_capacity> links;
};

} // namespace bth::steering
