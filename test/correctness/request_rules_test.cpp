// Retry rules and final statuses, Retry-After, host names, weighted traffic splits, target health, idle
// policy and recent uses.

#include "address.h"
#include "connection_pressure.h"
#include "recent_uses.h"
#include "retry_after.h"
#include "retry_rules.h"
#include "table_test.h"
#include "target_health.h"
#include "traffic_split.h"

#include <cmath>

namespace cassiaspan::test {
namespace {

const instant start{seconds(1000)};

struct retry_rule_row {
    std::string name;
    attempt_end end;
    bool may_have_run;
    bool idempotent_is_retryable;
    bool non_idempotent_is_retryable;
    // Status of the VM's own response if this was the only attempt.
    unsigned status;
};

void check_retry_rule(const retry_rule_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.may_have_run, may_have_run(row.end));
    CPPUNIT_ASSERT_EQUAL(row.idempotent_is_retryable, is_retryable(request_kind::idempotent, row.end));
    CPPUNIT_ASSERT_EQUAL(row.idempotent_is_retryable, is_retryable(request_kind::download, row.end));
    CPPUNIT_ASSERT_EQUAL(row.non_idempotent_is_retryable,
                         is_retryable(request_kind::non_idempotent, row.end));
    CPPUNIT_ASSERT_EQUAL(row.non_idempotent_is_retryable, is_retryable(request_kind::upload, row.end));
    CPPUNIT_ASSERT_EQUAL(row.status, final_status(row.end, may_have_run(row.end)));
    // 503 promises that the request did not run, so it must not follow an attempt that may have run.
    CPPUNIT_ASSERT(final_status(row.end, true) != 503);
}

const test_table<retry_rule_row>
    retry_rule_rows("retry_rules",
                    {{"rejected", attempt_end::rejected, false, true, true, 503},
                     {"misdirected", attempt_end::misdirected, false, true, true, 503},
                     {"unreachable", attempt_end::unreachable, false, true, true, 503},
                     {"withheld", attempt_end::withheld, false, true, true, 503},
                     {"failed", attempt_end::failed, true, true, false, 502},
                     {"timed out", attempt_end::timed_out, true, false, false, 504},
                     {"caller left", attempt_end::caller_left, true, false, false, 502}},
                    check_retry_rule);

struct retry_after_row {
    std::string name;
    milliseconds expected;
    double jitter;
    milliseconds result;
};

void check_retry_after(const retry_after_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.result.count(), choose_retry_after(row.expected, row.jitter).count());
}

const test_table<retry_after_row>
    retry_afters("retry after",
                 {{"the expected time", milliseconds(800), 1, milliseconds(800)},
                  {"with jitter", milliseconds(800), 0.5, milliseconds(400)},
                  {"never below the lower bound", milliseconds(0), 0.5, milliseconds(150)},
                  {"the lower bound has jitter upwards", milliseconds(0), 1.5, milliseconds(225)},
                  {"never above the upper bound", milliseconds(9000), 1.5, milliseconds(2000)}},
                 check_retry_after);

struct retry_after_header_row {
    std::string name;
    std::string text;
    std::optional<milliseconds> expected;
};

void check_retry_after_header(const retry_after_header_row& row) {
    CPPUNIT_ASSERT(row.expected == parse_retry_after(row.text, seconds(300)));
}

const test_table<retry_after_header_row>
    retry_after_headers("retry after header",
                        {{"whole seconds", "2", milliseconds(2000)},
                         {"a fraction", "1.5", milliseconds(1500)},
                         {"less than a millisecond", "0.0001", milliseconds(1)},
                         {"zero", "0", milliseconds(0)},
                         {"longer than allowed", "301", milliseconds(300'000)},
                         {"a very large number", "99999999999999999999999999", milliseconds(300'000)},
                         {"a negative number", "-1", std::nullopt},
                         {"empty", "", std::nullopt},
                         {"not a number", "nan", std::nullopt},
                         {"infinity", "inf", std::nullopt},
                         {"an exponent", "1e3", std::nullopt},
                         {"a unit", "5s", std::nullopt},
                         {"two values", "5, 6", std::nullopt},
                         {"a date", "Fri, 31 Dec 2100 23:59:59 GMT", std::nullopt},
                         {"a date that begins with a number", "31 Dec 2100", std::nullopt}},
                        check_retry_after_header);

struct host_row {
    std::string name;
    std::string header;
    std::string host;
};

void check_host(const host_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.host, std::string(host_without_port(row.header)));
}

const test_table<host_row> hosts("host without port",
                                 {{"a name", "app.example", "app.example"},
                                  {"a name and a port", "app.example:8080", "app.example"},
                                  {"an IPv6 address", "[2001:db8::1]", "[2001:db8::1]"},
                                  {"an IPv6 address and a port", "[2001:db8::1]:8080", "[2001:db8::1]"},
                                  {"nothing", "", ""}},
                                 check_host);

struct split_row {
    std::string name;
    std::vector<double> weights;
};

void check_split(const split_row& row) {
    std::vector<weighted_service> services;
    double total_weight = 0;
    for (const double weight : row.weights) {
        services.push_back({"service", weight});
        total_weight += weight;
    }
    split_state state;
    std::vector<int> sent(services.size(), 0);
    constexpr int requests = 1000;
    for (int i = 1; i <= requests; ++i) {
        ++sent[choose_weighted_service(state, services)];
        for (std::size_t service = 0; service < services.size(); ++service) {
            const double expected = i * row.weights[service] / total_weight;
            CPPUNIT_ASSERT(std::abs(sent[service] - expected) <= static_cast<double>(services.size()));
        }
    }
}

const test_table<split_row> splits("traffic_split",
                                   {{"one service", {1}},
                                    {"equal weights", {50, 50}},
                                    {"weights 90 and 10", {90, 10}},
                                    {"a service with weight 0", {1, 0, 1}},
                                    {"three services", {70, 20, 10}}},
                                   check_split);

void backoff_grows_with_each_connect_failure() {
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

void an_answer_resets_the_backoff() {
    target_health health;
    record_outcome(health, target_outcome::unreachable, {}, start);
    record_outcome(health, target_outcome::answered, {milliseconds(100), milliseconds(100)}, start);
    record_outcome(health, target_outcome::unreachable, {}, start);
    CPPUNIT_ASSERT(health.backoff_until - start == milliseconds(250));
}

void failing_targets_become_degraded_and_recover() {
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

struct slow_runs_row {
    std::string name;
    // Measured times of successive runs whose expected time is 100 ms; repeated `rounds` times.
    std::vector<int> measured_ms;
    int rounds;
    // Number of the run after which the target is degraded for the first time; empty if it never is.
    std::optional<int> degraded_after;
};

void check_slow_runs(const slow_runs_row& row) {
    target_health health;
    std::optional<int> degraded_after;
    int runs = 0;
    for (int i = 0; i < row.rounds; ++i) {
        for (const int time : row.measured_ms) {
            record_outcome(health, target_outcome::answered, {milliseconds(time), milliseconds(100)}, start);
            ++runs;
            degraded_after = !degraded_after && is_degraded(health) ? runs : degraded_after;
        }
    }
    CPPUNIT_ASSERT(row.degraded_after == degraded_after);
}

// Guards against taking a target for slow because of one request that needs seven times the usual work, which
// 3 in 100 requests do, and against not seeing that all of a target's runs are slow.
const test_table<slow_runs_row> slow_runs("slow runs",
                                          {{"all take 5 times as long", {500}, 5, 2},
                                           {"all take 3 times as long", {300}, 10, 5},
                                           {"all take 2.4 times as long", {240}, 50, {}},
                                           {"a target becomes slow after usual runs",
                                            {100, 100, 100, 100, 100, 100, 100, 100, 600, 600, 600, 600},
                                            1,
                                            12},
                                           {"the first takes 7 times as long", {700, 100, 100}, 1, {}},
                                           {"each third takes 7 times as long", {700, 100, 100}, 20, {}}},
                                          check_slow_runs);

void queueing_does_not_count_as_service_time() {
    target_health health;
    const milliseconds service_time = estimate_service_time(milliseconds(300), 12, 4);
    CPPUNIT_ASSERT(service_time == milliseconds(100));
    record_outcome(health, target_outcome::answered, {service_time, milliseconds(100)}, start);
    CPPUNIT_ASSERT_EQUAL(1.0, health.service_time_ratio);
    CPPUNIT_ASSERT(!is_degraded(health));
}

// A target that just joined is cold for every object. Cold runs are compared with the average cold run, so
// they must not mark the target as degraded.
void cold_runs_do_not_degrade_a_target() {
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

// Guards against running out of file descriptors: callers that open a connection for each of 500 requests per
// second fill 4,000 descriptors within an idle timeout of 15 s.
const test_table<pressure_row> pressures("connection_pressure",
                                         {{"100 of 4,000 connections", 100, {milliseconds(15'000), false}},
                                          {"1,300 of 4,000 connections", 1300, {milliseconds(5000), true}},
                                          {"3,500 of 4,000 connections", 3500, {milliseconds(2000), true}}},
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
            {{"backoff grows with each connect failure", backoff_grows_with_each_connect_failure},
             {"an answer resets the backoff", an_answer_resets_the_backoff},
             {"failing targets become degraded and recover", failing_targets_become_degraded_and_recover},
             {"queueing does not count as service time", queueing_does_not_count_as_service_time},
             {"cold runs do not degrade a target", cold_runs_do_not_degrade_a_target},
             {"recent uses expire", recent_uses_expire}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
