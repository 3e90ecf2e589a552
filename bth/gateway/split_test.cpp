#include "bth/gateway/split.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using bth::gateway::route_splits;
using shares = std::vector<bth::route::service_share>;

void set_route(route_splits& splits, const shares& parts, const std::string& name = "r")
{
    bth::route::route each;
    each.name = name;
    each.split = parts;
    splits.set_routes({each});
}

// Returns how many of the next requests each service gets.
std::map<std::string, int> count(route_splits& splits, int requests)
{
    std::map<std::string, int> out;
    for (int request = 0; request < requests; ++request) {
        ++out[splits.next("r")];
    }
    return out;
}

} // namespace

// clang-format off
TEST_GROUP(split) {};
// clang-format on

TEST(split, each_window_of_requests_matches_the_weights)
{
    route_splits splits;
    set_route(splits, {{"old", 90}, {"new", 10}});
    for (int window = 0; window < 3; ++window) {
        auto counts = count(splits, 100);
        LONGS_EQUAL(90, counts["old"]);
        LONGS_EQUAL(10, counts["new"]);
    }
}

TEST(split, service_with_zero_weight_gets_no_request)
{
    route_splits splits;
    set_route(splits, {{"off", 0}, {"on", 5}});
    LONGS_EQUAL(10, count(splits, 10)["on"]);
}

// A service whose weight was set to 0 went on getting requests, as many as the old weights owed it
// in units of the new ones.
TEST(split, service_that_is_taken_out_gets_no_request_whatever_came_before)
{
    for (const auto& before :
         {std::pair{900.0, 100.0}, std::pair{1.0, 999.0}, std::pair{1e9, 1e8}}) {
        for (int requests = 0; requests < 40; ++requests) {
            route_splits splits;
            set_route(splits, {{"kept", before.first}, {"out", before.second}});
            count(splits, requests);
            set_route(splits, {{"kept", 1}, {"out", 0}});
            LONGS_EQUAL(0, count(splits, 600)["out"]);
        }
    }
}

// The same for the share of a service in parts that changed in any way.
TEST(split, shares_follow_the_weights_in_force_at_once)
{
    const std::vector<shares> changes{
        {{"a", 900}, {"b", 100}},      {{"a", 1}, {"b", 1}}, {{"b", 1}, {"a", 1}},
        {{"c", 3}, {"b", 1}},          {{"b", 1}},           {{"a", 0.1}, {"b", 0.2}, {"c", 0.1}},
        {{"a", 100000}, {"b", 300000}}};
    for (const auto& first : changes) {
        for (const auto& second : changes) {
            route_splits splits;
            set_route(splits, first);
            count(splits, 7);
            set_route(splits, second);
            auto counts = count(splits, 400);
            double sum = 0;
            for (const auto& part : second) {
                sum += part.weight;
            }
            for (const auto& part : second) {
                DOUBLES_EQUAL(400 * part.weight / sum, counts[part.service], 10);
            }
        }
    }
}

// A change of other routes must not start a small share anew: it would never get its first request.
TEST(split, route_whose_parts_stay_goes_on_where_it_was)
{
    route_splits splits;
    int small = 0;
    for (int change = 0; change < 100; ++change) {
        set_route(splits, {{"large", 99}, {"small", 1}});
        small += count(splits, 10)["small"];
    }
    LONGS_EQUAL(10, small);
}

TEST(split, route_that_was_gone_starts_anew)
{
    route_splits splits;
    set_route(splits, {{"a", 900}, {"b", 100}});
    count(splits, 4);
    set_route(splits, {{"x", 1}}, "other");
    set_route(splits, {{"a", 900}, {"b", 100}});
    LONGS_EQUAL(0, count(splits, 4)["b"]);
}
