// A small configuration for tests of the steering parts: one service with two targets in each of
// three failure domains, two entry hosts a domain; the first two domains form one region.
//
//   auto model = testing::small_model();
#pragma once

#include "bth/config/model.h"

#include <cstdint>
#include <string>

namespace bth::steering::testing {

inline config::model small_model()
{
    config::model made;
    made.regions = {{"r0", {request_rate{1000.0}, 100}}, {"r1", {request_rate{1000.0}, 100}}};
    made.classes = {{"gold", "00"}, {"public", ""}};
    made.public_class = class_id{1};
    config::service service;
    service.name = "s";
    service.priority = {priority_level{0}, priority_level{1}};
    service.shift = {share{0.25}, std::chrono::seconds{60}};
    service.request_bytes = 400;
    service.answer_bytes = 4000;
    service.service_time = std::chrono::milliseconds{2};
    made.services = {service};
    constexpr std::uint16_t domains = 3;
    for (std::uint16_t at = 0; at < domains; ++at) {
        const std::string name = "d" + std::to_string(at);
        const domain_id domain{at};
        const region_id region{static_cast<std::uint16_t>(at / 2)};
        const domain_id near{static_cast<std::uint16_t>((at + 1) % domains)};
        const domain_id far{static_cast<std::uint16_t>((at + 2) % domains)};
        made.domains.push_back({name, region, {request_rate{500.0}, 50}, {near, far}});
        for (const char* suffix : {"a", "b"}) {
            made.hosts.push_back({"e-" + name + suffix, domain, {}, {}});
            made.targets.push_back({"t-" + name + suffix, service_id{0}, domain, {}, 3, 30});
        }
    }
    return made;
}

} // namespace bth::steering::testing
