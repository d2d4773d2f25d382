// When a group of targets counts as out of reach, and how requests return to it.

#include "table_test.h"
#include "target_reach.h"

#include <optional>

namespace cassiaspan::test {
namespace {

constexpr instant start{seconds(100)};

struct reach_step {
    // Target that could not be reached; unset for a contact.
    std::optional<std::uint32_t> failed;
};

struct reach_row {
    std::string name;
    std::size_t known_targets = 0;
    std::vector<reach_step> steps;
    bool is_lost = false;
};

void check_reach(const reach_row& row) {
    target_reach reach;
    int transitions = 0;
    bool was_lost = false;
    for (const reach_step& step : row.steps) {
        const bool changed = step.failed ? record_no_contact(reach, *step.failed, row.known_targets, start)
                                         : record_contact(reach, start);
        transitions += changed ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(changed, was_lost != reach.is_lost);
        was_lost = reach.is_lost;
    }
    CPPUNIT_ASSERT_EQUAL(row.is_lost, reach.is_lost);
    CPPUNIT_ASSERT_EQUAL(row.is_lost ? 0.0 : 1.0, direct_fraction(reach, start + seconds(2)));
}

const reach_step contact{};
reach_step failure(std::uint32_t target) {
    return {target};
}

const test_table<reach_row>
    reaches("target_reach",
            {{"nothing is known", 10, {}, false},
             {"two targets of many", 10, {failure(1), failure(2)}, false},
             {"three different targets", 10, {failure(1), failure(2), failure(3)}, true},
             {"one target again and again", 10, {failure(1), failure(1), failure(1), failure(1)}, false},
             {"a contact in between", 10, {failure(1), failure(2), contact, failure(3)}, false},
             {"all of two targets", 2, {failure(1), failure(2)}, true},
             {"the only target", 1, {failure(1)}, true},
             {"reached again", 10, {failure(1), failure(2), failure(3), contact}, false},
             {"lost again",
              3,
              {failure(1), failure(2), failure(3), contact, failure(3), failure(1), failure(2)},
              true}},
            check_reach);

struct return_row {
    std::string name;
    milliseconds since_restored{};
    double fraction = 0;
};

// Guards against all VMs of a zone returning to the targets in the moment in which a partition ends.
void check_return(const return_row& row) {
    target_reach reach;
    record_no_contact(reach, 1, 1, start);
    CPPUNIT_ASSERT_EQUAL(0.0, direct_fraction(reach, start + row.since_restored));
    record_contact(reach, start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(row.fraction, direct_fraction(reach, start + row.since_restored), 0.001);
}

const test_table<return_row> returns("target_reach/return",
                                     {{"at once", milliseconds(0), 0},
                                      {"after a quarter of the time", milliseconds(250), 0.25},
                                      {"after the time", milliseconds(1000), 1},
                                      {"later", milliseconds(5000), 1}},
                                     check_return);

struct recent_row {
    std::string name;
    std::optional<milliseconds> age;
    bool is_recent = false;
};

void check_recent(const recent_row& row) {
    target_reach reach;
    if (row.age) {
        record_no_contact(reach, 1, 10, start);
    }
    CPPUNIT_ASSERT_EQUAL(row.is_recent, failed_recently(reach, start + row.age.value_or(milliseconds(0))));
}

const test_table<recent_row> recent_failures("target_reach/recent failure",
                                             {{"none", {}, false},
                                              {"just now", milliseconds(0), true},
                                              {"within two seconds", milliseconds(2000), true},
                                              {"longer ago", milliseconds(2001), false}},
                                             check_recent);

} // namespace
} // namespace cassiaspan::test
