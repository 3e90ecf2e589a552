// The identifiers that the parts of the system share.
//
// Ids of rows (regions, domains, ...) are only valid together with the revision of the
// configuration that they were made for: names, not ids, go over the wire between hosts that may
// hold different revisions.
#pragma once

#include "bth/base/strong_id.h"

#include <cstdint>

namespace bth {

using region_id = strong_id<struct region_tag, std::uint16_t>;
using domain_id = strong_id<struct domain_tag, std::uint16_t>;
using link_id = strong_id<struct link_tag, std::uint16_t>;
using host_id = strong_id<struct host_tag, std::uint16_t>;
using service_id = strong_id<struct service_tag, std::uint16_t>;
using class_id = strong_id<struct class_tag, std::uint8_t>;
using target_id = strong_id<struct target_tag, std::uint32_t>;

// One request at one entry host, unique during the life of that process.
using request_id = strong_id<struct request_tag, std::uint64_t>;

// The revision of the accepted configuration: 0 before the first, then rising by one per accepted
// edit.
using revision = strong_id<struct revision_tag, std::uint64_t>;

// One life of a process. A later life of the same host has a larger value.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

// What a caller class has bought for a service: 0 is served first, larger values later.
using priority_level = strong_id<struct priority_tag, std::uint8_t>;

} // namespace bth
