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
    route result;
    result.name = name;
    result.host = "shop.example";
    result.path_prefix = prefix;
    result.timeout = std::chrono::seconds{1};
    result.objective = std::chrono::milliseconds{400};
    result.split = {{"orders", 1.0}};
    return result;
}

configuration make_configuration()
{
    configuration result;
    result.routes = {make_route("all", "/"), make_route("orders", "/orders/"),
                     make_route("old", "/orders/old/")};
    result.services.push_back({"orders", "/health", 10, {}, 0});
    return result;
}

} // namespace

TEST_GROUP(route_model){};

TEST(route_model, find_returns_the_longest_matching_prefix_of_the_host)
{
    const route_table table{make_configuration()};
    STRCMP_EQUAL("old", table.find("shop.example", "/orders/old/7")->name.c_str());
    STRCMP_EQUAL("orders", table.find("shop.example", "/orders/7")->name.c_str());
    STRCMP_EQUAL("all", table.find("shop.example", "/else")->name.c_str());
    POINTERS_EQUAL(nullptr, table.find("other.example", "/orders/7"));
}

TEST(route_model, valid_configuration_has_no_findings)
{
    CHECK_TRUE(check(make_configuration(), "test").empty());
}

TEST(route_model, each_error_is_found)
{
    auto invalid = make_configuration();
    invalid.routes[0].split = {{"nowhere", 1.0}};
    invalid.routes[1].timeout = {};
    invalid.routes[2].split = {{"orders", 0.0}};
    LONGS_EQUAL(3, check(invalid, "test").size());
}

TEST(route_model, two_routes_with_the_same_host_and_prefix_are_refused)
{
    auto invalid = make_configuration();
    invalid.routes[2].path_prefix = "/orders/";
    LONGS_EQUAL(1, check(invalid, "test").size());
}

TEST(route_model, objective_a_minute_above_the_timeout_is_refused)
{
    auto invalid = make_configuration();
    invalid.routes[0].objective = invalid.routes[0].timeout + std::chrono::minutes{1};
    LONGS_EQUAL(1, check(invalid, "test").size());
    invalid.routes[0].objective -= std::chrono::milliseconds{1};
    CHECK_TRUE(check(invalid, "test").empty());
}
