// Look-ups in a configuration, and what makes one invalid.

#include "steering_config.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

route_rule make_route(const std::string& name, const std::string& prefix) {
    route_rule route;
    route.name = name;
    route.host = "app.example";
    route.prefix = prefix;
    route.timeout = milliseconds(1000);
    route.split = {{"search", 1}};
    return route;
}

steering_rules make_rules() {
    steering_rules rules;
    rules.version = 7;
    rules.services = {{"search", "/healthz", 100, milliseconds(3000), 5}};
    rules.routes = {make_route("all", "/"), make_route("bears", "/bears/"), make_route("old", "/bears/old/")};
    rules.workspaces = {{"hotel", {"key-1", "key-2"}, 1, 100, 50, {}}};
    return rules;
}

struct route_row {
    std::string name;
    std::string host;
    std::string path;
    // Empty: none.
    std::string expected;
};

void check_route(const route_row& row) {
    const auto config = steering_config::make(make_rules());
    const route_rule* found = (*config)->find_route(row.host, row.path);
    CPPUNIT_ASSERT_EQUAL(row.expected, found == nullptr ? std::string() : found->name);
}

const test_table<route_row> routes("steering_config routes",
                                   {{"the longest prefix", "app.example", "/bears/old/1", "old"},
                                    {"a shorter prefix", "app.example", "/bears/1", "bears"},
                                    {"not without the slash", "app.example", "/bearskin", "all"},
                                    {"the prefix itself", "app.example", "/bears/", "bears"},
                                    {"the query does not count", "app.example", "/x?y=/bears/old/", "all"},
                                    {"hosts in any case", "App.Example", "/bears/1", "bears"},
                                    {"another host", "other.example", "/bears/1", ""},
                                    {"no slash at all", "app.example", "*", ""}},
                                   check_route);

struct invalid_row {
    std::string name;
    void (*spoil)(steering_rules& rules);
    std::string path;
};

void check_invalid(const invalid_row& row) {
    steering_rules rules = make_rules();
    row.spoil(rules);
    const auto config = steering_config::make(rules);
    CPPUNIT_ASSERT(!config.has_value());
    CPPUNIT_ASSERT_EQUAL(row.path, config.error().front().path);
}

const test_table<invalid_row> invalid(
    "steering_config invalid",
    {{"unknown service", [](steering_rules& rules) { rules.routes[0].split[0].service = "x"; },
      "routes[0].split"},
     {"prefix without slash", [](steering_rules& rules) { rules.routes[1].prefix = "/bears"; },
      "routes[1].prefix"},
     {"no time-out", [](steering_rules& rules) { rules.routes[0].timeout = {}; }, "routes[0].timeout"},
     {"no weight", [](steering_rules& rules) { rules.routes[0].split[0].weight = 0; }, "routes[0].split"},
     {"no attempt", [](steering_rules& rules) { rules.routes[0].max_attempts = 0; },
      "routes[0].max_attempts"},
     {"two routes of one prefix", [](steering_rules& rules) { rules.routes[1].prefix = "/"; },
      "routes[1].prefix"},
     {"a key held twice", [](steering_rules& rules) { rules.workspaces[0].keys.emplace_back("key-1"); },
      "workspaces[0].keys"}},
    check_invalid);

void keys_lead_to_their_workspace() {
    const auto config = steering_config::make(make_rules());
    CPPUNIT_ASSERT_EQUAL(std::string("hotel"), (*config)->find_workspace("key-2")->name);
    CPPUNIT_ASSERT((*config)->find_workspace("key-3") == nullptr);
}

void regions_of_route_and_workspace_both_bind() {
    CPPUNIT_ASSERT(is_region_allowed({}, {}, "north"));
    CPPUNIT_ASSERT(is_region_allowed({"north"}, {"north", "south"}, "north"));
    CPPUNIT_ASSERT(!is_region_allowed({"north"}, {"south"}, "north"));
    CPPUNIT_ASSERT(!is_region_allowed({"south"}, {}, "north"));
}

const test_table<scenario>
    details("steering_config",
            {{"keys lead to their workspace", keys_lead_to_their_workspace},
             {"regions of route and workspace both bind", regions_of_route_and_workspace_both_bind}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
