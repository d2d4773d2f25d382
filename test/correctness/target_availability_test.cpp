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

struct pause_step {
    milliseconds at;
    milliseconds time;
};

struct pause_row {
    std::string name;
    std::vector<pause_step> steps;
    double jitter;
    // The last millisecond of the pause, and the first one after it.
    milliseconds expected_paused_at;
    milliseconds expected_end;
};

// Guards against pauses that end before the time that the target has asked for, and against VMs that all
// return at its end.
void check_pause(const pause_row& row) {
    const instant start{seconds(1000)};
    target_availability availability;
    CPPUNIT_ASSERT(!is_paused(availability, start));
    for (const pause_step& step : row.steps) {
        record_pause(availability, step.time, row.jitter, start + step.at);
    }
    CPPUNIT_ASSERT(is_paused(availability, start + row.expected_paused_at));
    CPPUNIT_ASSERT(!is_paused(availability, start + row.expected_end));
    CPPUNIT_ASSERT(!is_leaving(availability));
}

const test_table<pause_row>
    pauses("target availability, pause",
           {{"without jitter", {{now, second}}, 0, milliseconds(999), milliseconds(1000)},
            {"with jitter", {{now, second}}, 0.5, milliseconds(1049), milliseconds(1050)},
            {"limited jitter", {{now, seconds(100)}}, 1, milliseconds(100'499), milliseconds(100'500)},
            {"extended", {{now, second}, {second / 2, second}}, 0, milliseconds(1499), milliseconds(1500)},
            {"not shortened",
             {{now, seconds(10)}, {second, second}, {second, now}},
             0,
             milliseconds(9999),
             milliseconds(10'000)}},
           check_pause);

} // namespace
} // namespace cassiaspan::test
