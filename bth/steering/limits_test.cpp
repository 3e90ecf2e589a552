#include "bth/steering/limits.h"

#include "bth/config/text.h"
#include "bth/steering/testing/small_site.h"

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

// clang-format off
TEST_GROUP(limits) {};
// clang-format on

namespace {

using bth::domain_id;
using bth::region_id;
using bth::service_id;
using bth::config::model;
using bth::steering::limits;

model example(const char* name)
{
    const std::string file = std::string{"examples/"} + name + "/site.json";
    std::stringstream text;
    text << std::ifstream{file}.rdbuf();
    return std::move(bth::config::read_text(file, text.str()).value());
}

std::vector<limits> of_all_domains(const model& in)
{
    std::vector<limits> all;
    for (std::size_t index = 0; index < in.domains.size(); ++index) {
        all.emplace_back(in, domain_id::from_index(index));
    }
    return all;
}

void check_domain_parts(const model& in, const std::vector<limits>& all)
{
    for (std::size_t index = 0; index < in.domains.size(); ++index) {
        double rate = 0.0;
        std::uint32_t in_flight = 0;
        for (std::size_t at = 0; at < in.services.size(); ++at) {
            const auto part = all.at(index).part(service_id::from_index(at));
            rate += part.rate.value();
            in_flight += part.in_flight;
        }
        const auto& cap = in.domains.at(index).cap;
        CHECK_TRUE(rate <= cap.rate.value());
        CHECK_TRUE(rate > cap.rate.value() * 0.999);
        CHECK_EQUAL(cap.in_flight, in_flight);
    }
}

// Requests on a link are granted in the region it leads to, answers in the one it comes from.
double link_sum(const model& in, const std::vector<limits>& all, const bth::config::link& link)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < in.domains.size(); ++index) {
        for (std::size_t at = 0; at < in.services.size(); ++at) {
            const auto service = service_id::from_index(at);
            if (in.domains.at(index).region == link.to) {
                sum += all.at(index).link(service, link.from).request_bytes.value();
            }
            if (in.domains.at(index).region == link.from) {
                sum += all.at(index).link(service, link.to).answer_bytes.value();
            }
        }
    }
    return sum;
}

void check_links(const model& in, const std::vector<limits>& all)
{
    for (const auto& link : in.links) {
        const double sum = link_sum(in, all, link);
        CHECK_TRUE(sum <= link.cap.value());
        CHECK_TRUE(sum > link.cap.value() * 0.999);
    }
}

} // namespace

TEST(limits, parts_sum_to_the_cap_of_each_domain_and_never_above)
{
    for (const char* name : {"midlands", "ogunleye"}) {
        const model in = example(name);
        check_domain_parts(in, of_all_domains(in));
    }
}

TEST(limits, parts_of_a_whole_number_that_does_not_divide_sum_to_it)
{
    const auto in = bth::steering::testing::small_site({{"\"in_flight\":24", "\"in_flight\":23"}});
    check_domain_parts(*in, of_all_domains(*in));
}

TEST(limits, bytes_of_both_directions_sum_to_the_cap_of_each_link_and_never_above)
{
    for (const char* name : {"midlands", "ogunleye"}) {
        const model in = example(name);
        check_links(in, of_all_domains(in));
    }
}

TEST(limits, rate_follows_what_the_targets_serve)
{
    const auto in = bth::steering::testing::small_site();
    const limits own{*in, domain_id{0}};
    // "web" takes half of the time of "shop" and has as many slots.
    DOUBLES_EQUAL(2.0, own.part(service_id{0}).rate / own.part(service_id{1}).rate, 1e-6);
    CHECK_TRUE(own.is_local(region_id{0}));
    CHECK_FALSE(own.is_local(region_id{1}));
}
