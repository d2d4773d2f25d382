// What may be repeated and what callers are told, the traffic split, target health, descriptors, recent uses.

#include "connection_pressure.h"
#include "recent_uses.h"
#include "retry_rules.h"
#include "table_test.h"
#include "target_health.h"
#include "traffic_split.h"

#include <cmath>

namespace cassiaspan::test {
namespace {

const instant start{seconds(1000)};

struct repeat_rule_row {
    std::string name;
    attempt_end end;
    bool has_maybe_run;
    bool idempotent_repeats;
    bool non_idempotent_repeats;
    // Status of the VM's own answer when this attempt was the only one.
    unsigned status;
};

void check_repeat_rule(const repeat_rule_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.has_maybe_run, may_have_run(row.end));
    CPPUNIT_ASSERT_EQUAL(row.idempotent_repeats, is_retryable(request_kind::idempotent, row.end));
    CPPUNIT_ASSERT_EQUAL(row.non_idempotent_repeats, is_retryable(request_kind::non_idempotent, row.end));
    CPPUNIT_ASSERT_EQUAL(row.non_idempotent_repeats, is_retryable(request_kind::upload, row.end));
    CPPUNIT_ASSERT_EQUAL(row.status, final_status(row.end, may_have_run(row.end)));
    // Once it may have run, no end lets the caller be told otherwise.
    CPPUNIT_ASSERT(final_status(row.end, true) != 503);
}

const test_table<repeat_rule_row>
    repeat_rule_rows("repeat_rules",
                     {{"rejected", attempt_end::rejected, false, true, true, 503},
                      {"misdirected", attempt_end::misdirected, false, true, true, 503},
                      {"unreachable", attempt_end::unreachable, false, true, true, 503},
                      {"failed", attempt_end::failed, true, true, false, 502},
                      {"timed out", attempt_end::timed_out, true, false, false, 504},
                      {"caller left", attempt_end::caller_left, true, false, false, 502}},
                     check_repeat_rule);

struct split_row {
    std::string name;
    std::vector<double> weights;
};

void check_split(const split_row& row) {
    std::vector<weighted_service> parts;
    double total = 0;
    for (const double weight : row.weights) {
        parts.push_back({"service", weight});
        total += weight;
    }
    split_state state;
    std::vector<int> dealt(parts.size(), 0);
    constexpr int requests = 1000;
    for (int i = 1; i <= requests; ++i) {
        ++dealt[choose_weighted_service(state, parts)];
        for (std::size_t part = 0; part < parts.size(); ++part) {
            const double owed = i * row.weights[part] / total;
            CPPUNIT_ASSERT(std::abs(dealt[part] - owed) <= static_cast<double>(parts.size()));
        }
    }
}

const test_table<split_row> splits("traffic_split",
                                   {{"one part", {1}},
                                    {"even", {50, 50}},
                                    {"nine to one", {90, 10}},
                                    {"a part without weight", {1, 0, 1}},
                                    {"three parts", {70, 20, 10}}},
                                   check_split);

void unreachable_targets_are_left_alone_for_longer_each_time() {
    target_health health;
    milliseconds last{0};
    instant now = start;
    for (int i = 0; i < 5; ++i) {
        record_outcome(health, target_outcome::unreachable, {}, now);
        CPPUNIT_ASSERT(is_backing_off(health, now));
        const auto blocked = std::chrono::duration_cast<milliseconds>(health.backoff_until - now);
        CPPUNIT_ASSERT(blocked >= last);
        CPPUNIT_ASSERT(blocked <= milliseconds(2000));
        last = blocked;
        now = health.backoff_until;
        CPPUNIT_ASSERT(!is_backing_off(health, now));
    }
}

void an_answer_ends_the_series_of_failures() {
    target_health health;
    record_outcome(health, target_outcome::unreachable, {}, start);
    record_outcome(health, target_outcome::answered, {milliseconds(100), milliseconds(100)}, start);
    record_outcome(health, target_outcome::unreachable, {}, start);
    CPPUNIT_ASSERT(health.backoff_until - start == milliseconds(250));
}

void failing_targets_become_doubtful_and_recover() {
    target_health health;
    for (int i = 0; i < 4; ++i) {
        record_outcome(health, target_outcome::failed, {}, start);
    }
    CPPUNIT_ASSERT(is_degraded(health));
    for (int i = 0; i < 4; ++i) {
        record_outcome(health, target_outcome::answered, {milliseconds(100), milliseconds(100)}, start);
    }
    CPPUNIT_ASSERT(!is_degraded(health));
}

void slow_targets_become_doubtful() {
    target_health health;
    record_outcome(health, target_outcome::answered, {milliseconds(500), milliseconds(100)}, start);
    CPPUNIT_ASSERT(is_degraded(health));
}

void waiting_for_a_slot_does_not_count_as_slowness() {
    target_health health;
    const milliseconds own = estimate_service_time(milliseconds(300), 12, 4);
    CPPUNIT_ASSERT(own == milliseconds(100));
    record_outcome(health, target_outcome::answered, {own, milliseconds(100)}, start);
    CPPUNIT_ASSERT_EQUAL(1.0, health.service_time_ratio);
    CPPUNIT_ASSERT(!is_degraded(health));
}

// A target that has just joined is cold for every object: its first runs say nothing against it.
void cold_runs_do_not_count_as_slowness() {
    target_health health;
    for (int i = 0; i < 20; ++i) {
        record_outcome(health, target_outcome::answered, {milliseconds(340), milliseconds(330)}, start);
    }
    CPPUNIT_ASSERT(!is_degraded(health));
}

struct pressure_row {
    std::string name;
    std::size_t open;
    idle_policy expected;
};

void check_pressure(const pressure_row& row) {
    CPPUNIT_ASSERT(choose_idle_policy(row.open, 4000, milliseconds(15'000)) == row.expected);
}

// Callers that open a connection for each of 500 tries a second fill 4,000 descriptors within 15 s of idle
// time.
const test_table<pressure_row> pressures("connection_pressure",
                                         {{"few", 100, {milliseconds(15'000), false}},
                                          {"a third", 1300, {milliseconds(5000), true}},
                                          {"most", 3500, {milliseconds(2000), true}}},
                                         check_pressure);

void recent_uses_expire() {
    recent_uses uses;
    record_use(uses, 1, 2, start);
    CPPUNIT_ASSERT(was_used(uses, 1, 2, seconds(5), start + seconds(5)));
    CPPUNIT_ASSERT(!was_used(uses, 1, 2, seconds(5), start + seconds(6)));
    CPPUNIT_ASSERT(!was_used(uses, 2, 1, seconds(5), start));
}

const test_table<scenario>
    details("request rules",
            {{"unreachable targets are left alone for longer each time",
              unreachable_targets_are_left_alone_for_longer_each_time},
             {"an answer ends the series of failures", an_answer_ends_the_series_of_failures},
             {"failing targets become doubtful and recover", failing_targets_become_doubtful_and_recover},
             {"slow targets become doubtful", slow_targets_become_doubtful},
             {"waiting for a slot does not count as slowness", waiting_for_a_slot_does_not_count_as_slowness},
             {"cold runs do not count as slowness", cold_runs_do_not_count_as_slowness},
             {"recent uses expire", recent_uses_expire}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
