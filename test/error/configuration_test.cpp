// Wrong configurations and settings: every finding with its place, all at once.

#include "config_check.h"
#include "event_log.h"
#include "settings_loader.h"
#include "table_test.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cassiaspan::test {
namespace {

// A configuration with one thing wrong, and the place that is named.
struct configuration_row {
    std::string name;
    std::string json;
    std::string path;
};

std::string digest(char digit) {
    return std::string(64, digit);
}

std::string with_workspace(const std::string& fields) {
    return R"({"regions":[{"name":"ege","availabilityZones":["e1"]}],"workspaces":[{"name":"w","burstRequests":1,"homeRegion":"ege",)" +
           fields + "}]}";
}

std::string with_service(const std::string& fields) {
    return R"({"regions":[{"name":"ege","availabilityZones":["e1"]}],"services":[{"name":"s","pathPrefix":"/s","slotsPerTarget":1,"maxConnectionsPerTarget":1,)" +
           fields + "}]}";
}

void check_place(const configuration_row& row) {
    const auto parsed = parse_configuration(row.json);
    if (row.path.empty()) {
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : render(parsed.error(), "file"), parsed.has_value());
        return;
    }
    CPPUNIT_ASSERT(!parsed);
    const bool named = std::any_of(parsed.error().begin(), parsed.error().end(),
                                   [&](const finding& entry) { return entry.path == row.path; });
    CPPUNIT_ASSERT_MESSAGE(render(parsed.error(), "file"), named);
}

const test_table<configuration_row> configurations(
    "configuration",
    {
        {"empty", "{}", ""},
        {"no JSON", "{", "document"},
        {"unknown field", R"({"regoins":[]})", "document"},
        {"rate below zero", with_workspace(R"("ratePerSecond":-1)"), "workspaces[0].ratePerSecond"},
        {"rate not a number", with_workspace(R"("ratePerSecond":"NaN")"), "workspaces[0].ratePerSecond"},
        {"unknown service", with_workspace(R"("services":["x"])"), "workspaces[0].services[0]"},
        {"bad key digest", with_workspace(R"("keys":[{"id":"k","sha256":"abc"}])"),
         "workspaces[0].keys[0].sha256"},
        {"key digest twice",
         with_workspace(R"("keys":[{"id":"k","sha256":")" + digest('a') + R"("},{"id":"l","sha256":")" +
                        digest('a') + R"("}])"),
         "workspaces[0].keys[1].sha256"},
        {"objective of 1",
         with_workspace(R"("objective":{"availabilityRatio":1,"latency":"0.1s","latencyRatio":0.9})"),
         "workspaces[0].objective.availabilityRatio"},
        {"prefix without a slash", with_service(R"("pathPrefix":"s")"), "services[0].pathPrefix"},
        {"host name as address",
         with_service(R"("targets":[{"name":"t","address":"host:1","availabilityZone":"e1"}])"),
         "services[0].targets[0].address"},
        {"unknown zone",
         with_service(R"("targets":[{"name":"t","address":"10.0.0.1:1","availabilityZone":"e9"}])"),
         "services[0].targets[0].availabilityZone"},
        {"target twice",
         with_service(
             R"("targets":[{"name":"t","address":"10.0.0.1:1","availabilityZone":"e1"},{"name":"t","address":"10.0.0.1:1","availabilityZone":"e1"}])"),
         "services[0].targets[1].name"},
        {"drain of nothing", R"({"drains":[{"name":"d"}]})", "drains[0]"},
        {"drain of an unknown target", R"({"drains":[{"name":"d","target":"t"}]})", "drains[0].target"},
        {"region twice",
         R"({"regions":[{"name":"a","availabilityZones":["z"]},{"name":"a","availabilityZones":["y"]}]})",
         "regions[1].name"},
    },
    check_place);

void all_findings_at_once() {
    const auto parsed = parse_configuration(with_workspace(R"("ratePerSecond":-1,"services":["x","y"])"));
    CPPUNIT_ASSERT(!parsed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, parsed.error().size());
}

void all_wrong_settings_at_once() {
    const auto loaded = load_settings(
        {"--worker-count=many", "--freshness-ms=-5", "--caller-address=here", "--log-format=xml"});
    CPPUNIT_ASSERT(!loaded);
    for (const std::string flag : {"--worker-count", "--freshness-ms", "--caller-address", "--log-format",
                                   "--region", "--store-address"}) {
        const bool named = std::any_of(loaded.error().begin(), loaded.error().end(),
                                       [&](const finding& entry) { return entry.path == flag; });
        CPPUNIT_ASSERT_MESSAGE(flag, named);
    }
}

void flags_go_before_variables() {
    setenv("CASSIASPAN_WORKER_COUNT", "32", 1);
    setenv("CASSIASPAN_REGION", "ege", 1);
    const std::vector<std::string> rest{"--availability-zone=e1", "--standalone=file"};
    const auto from_variable = load_settings(rest);
    std::vector<std::string> with_flag = rest;
    with_flag.push_back("--worker-count=48");
    const auto from_flag = load_settings(with_flag);
    setenv("CASSIASPAN_WORKRE_COUNT", "32", 1);
    const auto misspelt = load_settings(rest);
    unsetenv("CASSIASPAN_WORKER_COUNT");
    unsetenv("CASSIASPAN_REGION");
    unsetenv("CASSIASPAN_WORKRE_COUNT");
    CPPUNIT_ASSERT(from_variable && from_variable->worker_count() == 32 && from_variable->region() == "ege");
    CPPUNIT_ASSERT(from_flag && from_flag->worker_count() == 48);
    CPPUNIT_ASSERT(!misspelt);
}

void event_catalogue_is_current() {
    std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL(render_event_catalogue(), text.str());
}

const test_table<scenario> scenarios("settings",
                                     {{"all findings at once", all_findings_at_once},
                                      {"all wrong settings at once", all_wrong_settings_at_once},
                                      {"flags go before variables", flags_go_before_variables},
                                      {"the event catalogue is current", event_catalogue_is_current}},
                                     run_scenario);

} // namespace
} // namespace cassiaspan::test
