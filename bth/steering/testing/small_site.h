// A small deployment for the tests of the steering core, with two regions and three failure
// domains.
//
//   auto model = testing::small_site();
//   node core{{.host_name = "a1", .incarnation_number = incarnation{1}, .seed = 7}};
//   core.apply(model, revision{1}, {now, {}});
#pragma once

#include "bth/config/model.h"
#include "bth/config/text.h"

#include <memory>
#include <string>
#include <string_view>

namespace bth::steering::testing {

// Returns a deployment with failure domains "a" and "b" in region "near" and "c" in region "far",
// hosts "a1", "a2", "b1" and "c1", classes "gold", "silver" and "public" with priorities 0 to 2,
// and services "web" (5 ms) and "shop" (10 ms, depends on "web"). Each service has two targets of
// three slots in every domain, named like "web-a-1". `replacements` are pairs of old and new text
// that are replaced throughout the configuration text. Returns nullptr if the result is invalid.
inline std::shared_ptr<const config::model>
small_site(std::initializer_list<std::pair<std::string_view, std::string_view>> replacements = {})
{
    std::string text = R"({
"regions":[{"name":"near","cap":{"requests_per_second":4000,"in_flight":48}},
           {"name":"far","cap":{"requests_per_second":2000,"in_flight":24}}],
"failure_domains":[
 {"name":"a","region":"near","cap":{"requests_per_second":2000,"in_flight":24},"fallbacks":["b","c"]},
 {"name":"b","region":"near","cap":{"requests_per_second":2000,"in_flight":24},"fallbacks":["a","c"]},
 {"name":"c","region":"far","cap":{"requests_per_second":2000,"in_flight":24},"fallbacks":["a","b"]}],
"links":[{"from":"near","to":"far","megabits_per_second":300,"delay_us":20000},
         {"from":"far","to":"near","megabits_per_second":300,"delay_us":20000}],
"hosts":[{"name":"a1","failure_domain":"a","http":"127.1.1.1:80","peer":"127.1.1.1:90"},
         {"name":"a2","failure_domain":"a","http":"127.1.1.2:80","peer":"127.1.1.2:90"},
         {"name":"b1","failure_domain":"b","http":"127.1.2.1:80","peer":"127.1.2.1:90"},
         {"name":"c1","failure_domain":"c","http":"127.1.3.1:80","peer":"127.1.3.1:90"}],
"caller_classes":[
 {"name":"gold","key_sha256":"ad79a07b46f6144be87c96dc58732c06638aa37bceb7a7ceb95bcfa253a20353"},
 {"name":"silver","key_sha256":"21c250a38778680fcedbfa1d07bdab52b20930defb415d2b019f644f1c5f0c0b"},
 {"name":"public"}],
"services":[
 {"name":"web","depends_on":[],"priority":{"gold":0,"silver":1,"public":2},"retry_budget":0.1,
  "request_bytes":400,"answer_bytes":4000,"service_time_us":5000},
 {"name":"shop","depends_on":[{"service":"web","fan_out":1}],
  "priority":{"gold":0,"silver":1,"public":2},"retry_budget":0.1,
  "request_bytes":400,"answer_bytes":4000,"service_time_us":10000}],
"targets":[TARGETS],
"client_blocks":[{"block":"127.10.0.0/16","failure_domain":"a"}],
"drains":[]})";
    constexpr int first_port = 81;
    int port = first_port;
    std::string targets;
    for (const std::string_view service : {"web", "shop"}) {
        for (const std::string_view domain : {"a", "b", "c"}) {
            for (const std::string_view number : {"1", "2"}) {
                targets.append(targets.empty() ? "" : ",\n").append(R"({"name":")");
                targets.append(service).append("-").append(domain).append("-").append(number);
                targets.append(R"(","service":")").append(service);
                targets.append(R"(","failure_domain":")").append(domain);
                targets.append(R"(","http":"127.2.0.1:)").append(std::to_string(port));
                targets.append(R"(","slots":3,"connections":330})");
                ++port;
            }
        }
    }
    text.replace(text.find("TARGETS"), std::string_view{"TARGETS"}.size(), targets);
    for (const auto& [before, after] : replacements) {
        for (auto position = text.find(before); position != std::string::npos;
             position = text.find(before, position + after.size())) {
            text.replace(position, before.size(), after);
        }
    }
    auto read = config::read_text("small_site", text);
    return read ? std::make_shared<const config::model>(std::move(*read)) : nullptr;
}

} // namespace bth::steering::testing
