// Times of a planned stop: no request is broken off too early, and the last answers come before the end.

#include "stop_schedule.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

struct schedule_row {
    std::string name;
    milliseconds grace;
    milliseconds max_signal_delay;
    stop_schedule expected;
};

// Guards against requests that are passed on late in the grace period, are broken off before its last sixth,
// or get no answer before the process is killed.
void check_schedule(const schedule_row& row) {
    const stop_schedule schedule = make_stop_schedule(row.grace, row.max_signal_delay);
    CPPUNIT_ASSERT_EQUAL(row.expected.refusal.count(), schedule.refusal.count());
    CPPUNIT_ASSERT_EQUAL(row.expected.last_answers.count(), schedule.last_answers.count());
    CPPUNIT_ASSERT_EQUAL(row.expected.exit.count(), schedule.exit.count());
    // Also if the signal was not delayed at all.
    CPPUNIT_ASSERT(schedule.last_answers * 6 >= row.grace * 5);
}

stop_schedule make_schedule(int refusal_ms, int last_answers_ms, int exit_ms) {
    return {milliseconds(refusal_ms), milliseconds(last_answers_ms), milliseconds(exit_ms)};
}

const test_table<schedule_row>
    schedules("stop_schedule",
              {{"6 s", seconds(6), milliseconds(0), make_schedule(2000, 5600, 5750)},
               {"10 s", seconds(10), milliseconds(0), make_schedule(2500, 9600, 9750)},
               {"2.4 s", milliseconds(2400), milliseconds(0), make_schedule(800, 2000, 2150)},
               {"1 s", seconds(1), milliseconds(0), make_schedule(333, 834, 900)},
               {"6 s, a delayed signal", seconds(6), milliseconds(500), make_schedule(1500, 5100, 5250)},
               {"6 s, a signal delayed by more than the margins", seconds(6), milliseconds(1000),
                make_schedule(1000, 5000, 5150)},
               {"1 s, a signal delayed for longer than requests are accepted", seconds(1), milliseconds(500),
                make_schedule(0, 834, 900)}},
              check_schedule);

} // namespace
} // namespace cassiaspan::test
