// What targets announce in their responses, and which requests they may still get.

#include "table_test.h"
#include "target_availability.h"

namespace cassiaspan::test {
namespace {

struct leaving_row {
    std::string name;
    // When the target announces that it is leaving.
    std::vector<milliseconds> announced_at;
    milliseconds at;
    bool expected_leaving;
    bool expected_usable;
};

// Guards against a leaving target whose time starts anew with each of its responses.
void check_leaving(const leaving_row& row) {
    constexpr milliseconds drain_time{2500};
    const instant start{seconds(1000)};
    target_availability availability;
    for (const milliseconds time : row.announced_at) {
        record_leaving(availability, start + time);
    }
    CPPUNIT_ASSERT_EQUAL(row.expected_leaving, is_leaving(availability));
    CPPUNIT_ASSERT_EQUAL(row.expected_usable,
                         may_use_while_leaving(availability, drain_time, start + row.at));
}

constexpr milliseconds now{0};
constexpr milliseconds second{1000};

const test_table<leaving_row>
    leaving("target availability, leaving",
            {{"not", {}, now, false, false},
             {"at once", {now}, now, true, true},
             {"within half of the drain time", {now}, milliseconds(1249), true, true},
             {"after half of the drain time", {now}, milliseconds(1250), true, false},
             {"announced again", {now, second}, milliseconds(1250), true, false}},
            check_leaving);

} // namespace
} // namespace cassiaspan::test
