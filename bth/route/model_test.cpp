#include "bth/route/model.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using bth::route::check;
using bth::route::configuration;
using bth::route::route;
using bth::route::route_table;

route make_route(const std::string& name, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = "shop.example";
    made.path_prefix = prefix;
    made.timeout = std::chrono::seconds{1};
    made.objective = std::chrono::milliseconds{400};
    made.split = {{"orders", 1.0}};
    return made;
}

configuration make_configuration()
{
    configuration made;
    made.routes = {make_route("all", "/"), make_route("orders", "/orders/"),
                   make_route("old", "/orders/old/")};
    made.services.push_back({"orders", "/health", 10, {}, 0});
    return made;
}

} // namespace

TEST_GROUP(route_model){};

TEST(route_model, longest_prefix_of_the_host_wins)
{
    const route_table table{make_configuration()};
    STRCMP_EQUAL("old", table.find("shop.example", "/orders/old/7")->name.c_str());
    STRCMP_EQUAL("orders", table.find("shop.example", "/orders/7")->name.c_str());
    STRCMP_EQUAL("all", table.find("shop.example", "/else")->name.c_str());
    POINTERS_EQUAL(nullptr, table.find("other.example", "/orders/7"));
}

TEST(route_model, sound_configuration_has_no_findings)
{
    CHECK_TRUE(check(make_configuration(), "test").empty());
}

TEST(route_model, each_fault_is_found)
{
    auto bad = make_configuration();
    bad.routes[0].split = {{"nowhere", 1.0}};
    bad.routes[1].timeout = {};
    bad.routes[2].split = {{"orders", 0.0}};
    LONGS_EQUAL(3, check(bad, "test").size());
}

TEST(route_model, two_routes_at_one_place_are_refused)
{
    auto bad = make_configuration();
    bad.routes[2].path_prefix = "/orders/";
    LONGS_EQUAL(1, check(bad, "test").size());
}

TEST(route_model, objective_a_minute_above_the_timeout_is_refused)
{
    auto bad = make_configuration();
    bad.routes[0].objective = bad.routes[0].timeout + std::chrono::minutes{1};
    LONGS_EQUAL(1, check(bad, "test").size());
    bad.routes[0].objective -= std::chrono::milliseconds{1};
    CHECK_TRUE(check(bad, "test").empty());
}
