// Lookups in a configuration, and entries that are left out of it.

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
    // Name of the expected route; empty if none.
    std::string expected;
};

void check_route(const route_row& row) {
    const auto config = steering_config::make(make_rules());
    const route_rule* found = (*config)->find_route(row.host, row.path);
    CPPUNIT_ASSERT_EQUAL(row.expected, found == nullptr ? std::string() : found->name);
}

const test_table<route_row>
    routes("steering_config routes",
           {{"the longest prefix wins", "app.example", "/bears/old/1", "old"},
            {"a shorter prefix if the longest does not match", "app.example", "/bears/1", "bears"},
            {"a prefix matches whole path segments only", "app.example", "/bearskin", "all"},
            {"a path equal to the prefix", "app.example", "/bears/", "bears"},
            {"the query string is ignored", "app.example", "/x?y=/bears/old/", "all"},
            {"host names are case-insensitive", "App.Example", "/bears/1", "bears"},
            {"unknown host", "other.example", "/bears/1", ""},
            {"a path without a slash", "app.example", "*", ""}},
           check_route);

struct left_out_row {
    std::string name;
    void (*invalidate)(steering_rules& rules);
    // Path of the only finding.
    std::string path;
    // A path whose requests must be refused; empty if there is none.
    std::string refused;
    // A path and the name of the route that still serves it, and a key and its workspace, empty if none.
    std::string served = "/x";
    std::string served_by = "all";
    std::string key = "key-1";
    std::string workspace = "hotel";
};

// Guards against one unusable entry that takes the whole configuration with it, and against requests of a
// route that is left out which get the rules of a shorter prefix.
void check_left_out(const left_out_row& row) {
    steering_rules rules = make_rules();
    row.invalidate(rules);
    const auto config = *steering_config::make(rules);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, config->rules().left_out.size());
    CPPUNIT_ASSERT_EQUAL(row.path, config->rules().left_out.front().path);
    CPPUNIT_ASSERT(config->rules().keys_required);
    if (!row.refused.empty()) {
        CPPUNIT_ASSERT(config->find_route("App.example", row.refused) == nullptr);
        CPPUNIT_ASSERT(config->is_left_out("App.example", row.refused));
    }
    const route_rule* route = config->find_route("app.example", row.served);
    CPPUNIT_ASSERT_EQUAL(row.served_by, route == nullptr ? std::string() : route->name);
    CPPUNIT_ASSERT(!config->is_left_out("app.example", row.served));
    const workspace_rule* workspace = config->find_workspace(row.key);
    CPPUNIT_ASSERT_EQUAL(row.workspace, workspace == nullptr ? std::string() : workspace->name);
}

const test_table<left_out_row> left_out(
    "steering_config left out",
    {{"unknown service", [](steering_rules& rules) { rules.routes[1].split[0].service = "x"; },
      "routes[1].split", "/bears/1"},
     {"one unknown service of two",
      [](steering_rules& rules) {
          rules.routes[1].split.push_back({"x", 1});
      },
      "routes[1].split", "/bears/1"},
     {"unknown service of the shortest prefix",
      [](steering_rules& rules) { rules.routes[0].split[0].service = "x"; }, "routes[0].split", "/x",
      "/bears/1", "bears"},
     {"prefix without slash", [](steering_rules& rules) { rules.routes[1].prefix = "/bears"; },
      "routes[1].prefix", "/bears/1"},
     {"prefix without any slash", [](steering_rules& rules) { rules.routes[1].prefix = "bears"; },
      "routes[1].prefix", "/bears/1"},
     {"longer prefix of a route that is left out",
      [](steering_rules& rules) { rules.routes[1].timeout = {}; }, "routes[1].timeout", "/bears/1",
      "/bears/old/1", "old"},
     {"empty prefix", [](steering_rules& rules) { rules.routes[1].prefix = ""; }, "routes[1].prefix", ""},
     {"empty host", [](steering_rules& rules) { rules.routes[1].host = ""; }, "routes[1].host", ""},
     {"timeout of 0", [](steering_rules& rules) { rules.routes[2].timeout = {}; }, "routes[2].timeout",
      "/bears/old/1", "/bears/1", "bears"},
     {"weight of 0", [](steering_rules& rules) { rules.routes[1].split[0].weight = 0; }, "routes[1].split",
      "/bears/1"},
     {"negative weight",
      [](steering_rules& rules) {
          rules.routes[1].split = {{"search", -1}, {"search", 2}};
      },
      "routes[1].split", "/bears/1"},
     {"no attempts", [](steering_rules& rules) { rules.routes[1].max_attempts = 0; },
      "routes[1].max_attempts", "/bears/1"},
     {"an error of the document",
      [](steering_rules& rules) {
          rules.routes[1].source.problems = {{"resources[4].spec.public", "has the wrong type"}};
      },
      "resources[4].spec.public", "/bears/1"},
     {"duplicate prefix", [](steering_rules& rules) { rules.routes[1].prefix = "/"; }, "routes[1].prefix",
      ""},
     {"duplicate route name", [](steering_rules& rules) { rules.routes[2].name = "all"; }, "routes[2].name",
      "/bears/old/1"},
     {"duplicate service name",
      [](steering_rules& rules) {
          rules.services.push_back({"search", "/other", 1, milliseconds(0), 0});
      },
      "services[1].name", ""},
     {"service without name", [](steering_rules& rules) { rules.services.push_back({}); }, "services[1].name",
      ""},
     {"duplicate API key in an entry",
      [](steering_rules& rules) { rules.workspaces[0].keys.emplace_back("key-1"); }, "workspaces[0].keys", "",
      "/x", "all", "key-2", ""},
     {"duplicate API key of another entry, which is kept",
      [](steering_rules& rules) {
          rules.workspaces.push_back({"spa", {"key-3", "key-1"}, {}, 0, 0, {}});
      },
      "workspaces[1].keys", ""},
     {"keys beside a duplicate API key",
      [](steering_rules& rules) {
          rules.workspaces.push_back({"spa", {"key-3", "key-1"}, {}, 0, 0, {}});
      },
      "workspaces[1].keys", "", "/x", "all", "key-3", ""},
     {"duplicate workspace name",
      [](steering_rules& rules) {
          rules.workspaces.push_back({"hotel", {"key-3"}, {}, 0, 0, {}});
      },
      "workspaces[1].name", "", "/x", "all", "key-3", ""},
     {"the only workspace",
      [](steering_rules& rules) {
          rules.workspaces[0].source.problems = {{"resources[9].spec.rate-per-s", "has the wrong type"}};
      },
      "resources[9].spec.rate-per-s", "", "/x", "all", "key-1", ""}},
    check_left_out);

// Guards against an entry that gets the requests of an earlier one which is left out, without its limits.
void entries_that_are_left_out_keep_what_they_name() {
    steering_rules rules = make_rules();
    const findings problem{{"resources[0]", "has the wrong type"}};
    rules.services[0].source.problems = problem;
    rules.workspaces[0].source.problems = problem;
    rules.routes[1].source.problems = problem;
    rules.services.push_back({"search", "", 0, milliseconds(0), 0});
    rules.workspaces.push_back({"spa", {"key-1"}, {}, 0, 0, {}});
    rules.routes.push_back(make_route("bears again", "/bears/"));
    const auto config = *steering_config::make(rules);
    CPPUNIT_ASSERT(config->find_service("search") == nullptr);
    CPPUNIT_ASSERT(config->find_workspace("key-1") == nullptr);
    CPPUNIT_ASSERT(config->is_left_out("app.example", "/bears/1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, config->rules().left_out.size());
}

void a_service_that_is_left_out_takes_its_routes_with_it() {
    steering_rules rules = make_rules();
    rules.services.push_back({"maps", "", 0, milliseconds(0), 0});
    rules.routes[1].split = {{"maps", 1}};
    rules.services[1].source.problems = {{"resources[1].spec.cold-start-s", "is out of range"}};
    const auto config = *steering_config::make(rules);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config->rules().left_out.size());
    CPPUNIT_ASSERT(config->is_left_out("app.example", "/bears/1"));
    CPPUNIT_ASSERT(config->find_route("app.example", "/x") != nullptr);
}

void keys_are_required_only_with_workspace_entries() {
    steering_rules rules = make_rules();
    rules.workspaces.clear();
    CPPUNIT_ASSERT(!(*steering_config::make(rules))->rules().keys_required);
}

void a_copy_has_other_limits() {
    const auto config = *steering_config::make(make_rules());
    const auto copy = config->with_limits({100, 200, milliseconds(300), milliseconds(400)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, copy->rules().limits.max_body_bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("bears"), copy->find_route("app.example", "/bears/1")->name);
}

void workspaces_are_found_by_api_key() {
    const auto config = steering_config::make(make_rules());
    CPPUNIT_ASSERT_EQUAL(std::string("hotel"), (*config)->find_workspace("key-2")->name);
    CPPUNIT_ASSERT((*config)->find_workspace("key-3") == nullptr);
}

void regions_of_route_and_workspace_are_intersected() {
    CPPUNIT_ASSERT(is_region_allowed({}, {}, "north"));
    CPPUNIT_ASSERT(is_region_allowed({"north"}, {"north", "south"}, "north"));
    CPPUNIT_ASSERT(!is_region_allowed({"north"}, {"south"}, "north"));
    CPPUNIT_ASSERT(!is_region_allowed({"south"}, {}, "north"));
}

const test_table<scenario> details(
    "steering_config",
    {{"workspaces are found by API key", workspaces_are_found_by_api_key},
     {"entries that are left out keep what they name", entries_that_are_left_out_keep_what_they_name},
     {"a service that is left out takes its routes with it",
      a_service_that_is_left_out_takes_its_routes_with_it},
     {"keys are required only with workspace entries", keys_are_required_only_with_workspace_entries},
     {"a copy has other limits", a_copy_has_other_limits},
     {"regions of route and workspace are intersected", regions_of_route_and_workspace_are_intersected}},
    run_scenario);

} // namespace
} // namespace cassiaspan::test
