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

model load_example(const char* name)
{
    const std::string file = std::string{"examples/"} + name + "/site.json";
    std::stringstream text;
    text << std::ifstream{file}.rdbuf();
    return std::move(bth::config::read_text(file, text.str()).value());
}

std::vector<limits> limits_of_all_domains(const model& site)
{
    std::vector<limits> all;
    for (std::size_t index = 0; index < site.domains.size(); ++index) {
        all.emplace_back(site, domain_id::from_index(index));
    }
    return all;
}

void check_domain_parts(const model& site, const std::vector<limits>& all)
{
    for (std::size_t index = 0; index < site.domains.size(); ++index) {
        double rate = 0.0;
        std::uint32_t in_flight = 0;
        for (std::size_t service_index = 0; service_index < site.services.size(); ++service_index) {
            const auto part = all.at(index).part(service_id::from_index(service_index));
            rate += part.rate.value();
            in_flight += part.in_flight;
        }
        const auto& cap = site.domains.at(index).cap;
        CHECK_TRUE(rate <= cap.rate.value());
        CHECK_TRUE(rate > cap.rate.value() * 0.999);
        CHECK_EQUAL(cap.in_flight, in_flight);
    }
}

// Returns the sum of all parts of the link. Its request bytes are split over the domains of the
// region that it leads to, its answer bytes over the domains of the region that it starts from.
double link_sum(const model& site, const std::vector<limits>& all, const bth::config::link& link)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < site.domains.size(); ++index) {
        for (std::size_t service_index = 0; service_index < site.services.size(); ++service_index) {
            const auto service = service_id::from_index(service_index);
            if (site.domains.at(index).region == link.to) {
                sum += all.at(index).link(service, link.from).request_bytes.value();
            }
            if (site.domains.at(index).region == link.from) {
                sum += all.at(index).link(service, link.to).answer_bytes.value();
            }
        }
    }
    return sum;
}

void check_links(const model& site, const std::vector<limits>& all)
{
    for (const auto& link : site.links) {
        const double sum = link_sum(site, all, link);
        CHECK_TRUE(sum <= link.cap.value());
        CHECK_TRUE(sum > link.cap.value() * 0.999);
    }
}

} // namespace

TEST(limits, parts_sum_to_the_cap_of_each_domain_and_never_above)
{
    for (const char* name : {"midlands", "ogunleye"}) {
        const model site = load_example(name);
        check_domain_parts(site, limits_of_all_domains(site));
    }
}

TEST(limits, parts_of_an_indivisible_in_flight_cap_sum_to_the_cap)
{
    const auto site =
        bth::steering::testing::small_site({{"\"in_flight\":24", "\"in_flight\":23"}});
    check_domain_parts(*site, limits_of_all_domains(*site));
}

TEST(limits, bytes_of_both_directions_sum_to_the_cap_of_each_link_and_never_above)
{
    for (const char* name : {"midlands", "ogunleye"}) {
        const model site = load_example(name);
        check_links(site, limits_of_all_domains(site));
    }
}

TEST(limits, rate_parts_are_proportional_to_what_the_targets_serve)
{
    const auto site = bth::steering::testing::small_site();
    const limits own{*site, domain_id{0}};
    // A request of "web" takes half the time of one of "shop", and both have the same slots.
    DOUBLES_EQUAL(2.0, own.part(service_id{0}).rate / own.part(service_id{1}).rate, 1e-6);
    CHECK_TRUE(own.is_local(region_id{0}));
    CHECK_FALSE(own.is_local(region_id{1}));
}
