// Budgets that all VMs share: workspaces' rates, repeats, cold targets, shifts between regions.

#include "cold_pacing.h"
#include "fleet_token_bucket.h"
#include "region_shift_limiter.h"
#include "retry_budget.h"
#include "table_test.h"

#include <algorithm>
#include <deque>

namespace cassiaspan::test {
namespace {

const instant start{seconds(1000)};

struct bucket_row {
    std::string name;
    std::size_t vms;
    // Demand of each VM relative to the rate of the whole workspace.
    double demand_per_vm;
    // Steps of 10 ms between a VM's admission and the others' knowledge of it; below 0: they never hear.
    int report_steps;
    // Part of what is owed that must be admitted at least.
    double min_admitted;
};

// VMs with a copy each. In every window of 5 s the fleet must stay within rate x window + burst, with a tenth
// and 20 requests to spare.
void check_bucket(const bucket_row& row) {
    constexpr double rate = 100;
    constexpr double burst = 100;
    constexpr int steps = 3000;
    constexpr int window_steps = 500;
    const milliseconds step_time{10};
    const bucket_limits contract{rate, burst};
    const bucket_replicas sharers{row.vms, row.report_steps < 0 ? 1 : row.vms};
    std::vector<fleet_token_bucket> copies(row.vms, make_fleet_token_bucket(contract, start));
    std::vector<double> owed(row.vms, 0);
    std::deque<std::pair<int, std::size_t>> reports;
    std::vector<int> admitted(steps, 0);
    for (int step = 0; step < steps; ++step) {
        const instant now = start + step * step_time;
        for (; !reports.empty() && reports.front().first <= step; reports.pop_front()) {
            for (std::size_t vm = 0; vm < row.vms; ++vm) {
                if (vm != reports.front().second) {
                    record_remote_tokens(copies[vm], contract, 1);
                }
            }
        }
        for (std::size_t vm = 0; vm < row.vms; ++vm) {
            for (owed[vm] += row.demand_per_vm * rate / 100; owed[vm] >= 1; owed[vm] -= 1) {
                if (take_token(copies[vm], contract, sharers, now)) {
                    ++admitted[static_cast<std::size_t>(step)];
                    if (row.report_steps >= 0) {
                        reports.emplace_back(step + row.report_steps, vm);
                    }
                }
            }
        }
    }
    int in_window = 0;
    int worst = 0;
    int total = 0;
    for (int step = 0; step < steps; ++step) {
        in_window += admitted[static_cast<std::size_t>(step)];
        total += admitted[static_cast<std::size_t>(step)];
        in_window -= step >= window_steps ? admitted[static_cast<std::size_t>(step - window_steps)] : 0;
        worst = std::max(worst, in_window);
    }
    constexpr double bound = (rate * 5 + burst) * 1.1 + 20;
    CPPUNIT_ASSERT(worst <= bound);
    const double asked = row.demand_per_vm * static_cast<double>(row.vms) * rate * 30;
    CPPUNIT_ASSERT(total >= row.min_admitted * std::min(asked, rate * 30));
}

const test_table<bucket_row> buckets("fleet_bucket",
                                     {{"one VM within the rate", 1, 0.6, 0, 0.99},
                                      {"one VM at five times the rate", 1, 5, 0, 0.99},
                                      {"eight VMs within the rate", 8, 0.07, 10, 0.99},
                                      {"eight VMs at five times the rate", 8, 0.62, 40, 0.95},
                                      {"eight VMs that hear nothing of each other", 8, 0.62, -1, 0.9},
                                      {"a sudden flood with late reports", 8, 1.0, 40, 0.95}},
                                     check_bucket);

void restarted_copies_do_not_renew_the_burst() {
    const bucket_limits contract{100, 100};
    const bucket_replicas sharers{1, 1};
    int admitted = 0;
    for (int life = 0; life < 4; ++life) {
        fleet_token_bucket copy = make_fleet_token_bucket(contract, start);
        while (take_token(copy, contract, sharers, start)) {
            ++admitted;
        }
    }
    CPPUNIT_ASSERT(admitted <= 200);
}

void silent_vms_keep_their_part() {
    const bucket_limits contract{100, 100};
    fleet_token_bucket copy{.tokens = 0, .refilled_at = start};
    refill(copy, contract, {4, 2}, start + seconds(1));
    CPPUNIT_ASSERT(copy.tokens > 49 && copy.tokens < 51);
}

void lowered_limits_bind_at_once() {
    const bucket_limits lower{10, 10};
    fleet_token_bucket copy{.tokens = 100, .refilled_at = start};
    refill(copy, lower, {1, 1}, start);
    CPPUNIT_ASSERT(copy.tokens <= 10);
}

void unlimited_workspaces_are_never_refused() {
    fleet_token_bucket copy{.tokens = 0, .refilled_at = start};
    CPPUNIT_ASSERT(take_token(copy, {0, 0}, {1, 1}, start));
    CPPUNIT_ASSERT(time_to_token(copy, {0, 0}) == milliseconds(0));
}

void the_wait_is_that_of_the_next_token() {
    CPPUNIT_ASSERT(time_to_token({.tokens = -1, .refilled_at = start}, {10, 10}) == milliseconds(200));
}

struct repeat_row {
    std::string name;
    std::size_t vms;
    int requests;
    // Largest number of repeats that may be granted to this VM.
    double bound;
    int min_granted;
};

void check_repeats(const repeat_row& row) {
    const retry_budget_limits terms{0.2, 56, seconds(10)};
    retry_budget budget;
    for (int i = 0; i < row.requests; ++i) {
        record_request(budget, terms, start);
    }
    int granted = 0;
    while (try_take_retry(budget, terms, row.vms, start) && granted < 10'000) {
        ++granted;
    }
    CPPUNIT_ASSERT(granted <= row.bound);
    CPPUNIT_ASSERT(granted >= row.min_granted);
    // A window later everything is open again.
    CPPUNIT_ASSERT(try_take_retry(budget, terms, 1, start + seconds(11)));
}

const test_table<repeat_row> repeats("repeat_budget",
                                     {{"only the slack", 1, 0, 56, 40},
                                      {"an eighth of the slack", 8, 0, 7, 5},
                                      {"with requests", 8, 500, 107, 80}},
                                     check_repeats);

struct cold_row {
    std::string name;
    std::size_t vms;
    double rate;
    double max_in_one_second;
    // Time for which nothing is sent after the first second, as the target cannot be reached.
    milliseconds outage{};
};

// All VMs discover the cold target at the same moment and have work for it all the time but during an outage.
void check_cold(const cold_row& row) {
    std::vector<cold_pacing> pacings(row.vms);
    std::deque<instant> sent;
    std::size_t worst = 0;
    std::size_t total = 0;
    for (int step = 0; step < 3000; ++step) {
        const instant now = start + step * milliseconds(1) + (step < 1000 ? milliseconds(0) : row.outage);
        for (std::size_t vm = 0; vm < row.vms; ++vm) {
            const cold_pacing_params terms{row.rate, row.vms,
                                           static_cast<double>(vm) / static_cast<double>(row.vms)};
            if (may_send_to_cold_target(pacings[vm], terms, now)) {
                record_sent_to_cold_target(pacings[vm], terms, now);
                sent.push_back(now);
                ++total;
            }
        }
        while (!sent.empty() && now - sent.front() > seconds(1)) {
            sent.pop_front();
        }
        worst = std::max(worst, sent.size());
    }
    CPPUNIT_ASSERT(static_cast<double>(worst) <= row.max_in_one_second);
    CPPUNIT_ASSERT(static_cast<double>(total) >= 2 * row.rate);
}

// The bound is the rate while cold x 1.5 + 5.
const test_table<cold_row> colds("cold_pacing",
                                 {{"one VM", 1, 8, 17},
                                  {"eight VMs", 8, 7.5, 16.25},
                                  {"eighty VMs", 80, 14, 26},
                                  {"eighty VMs after an outage", 80, 5.9, 13.85, milliseconds(9000)},
                                  {"eight VMs after an outage", 8, 7.5, 16.25, milliseconds(9000)}},
                                 check_cold);

struct shift_row {
    std::string name;
    // Requests of the first two seconds that run near, in tenths; then all would run far.
    int near_before;
    double max_share_increase;
    double max_far_share_in_next;
};

void check_shift(const shift_row& row) {
    const region_shift_limits terms{row.max_share_increase, milliseconds(2000)};
    region_shift_limiter shift;
    int far = 0;
    int count = 0;
    for (int step = 0; step < 400; ++step) {
        const instant now = start + step * milliseconds(10);
        if (step < 200) {
            record_region_request(shift, terms, step % 10 < row.near_before ? "near" : "far", now);
            continue;
        }
        const bool goes_far = may_send_to_region(shift, terms, "far", 0, now);
        record_region_request(shift, terms, goes_far ? "far" : "near", now);
        far += goes_far ? 1 : 0;
        ++count;
    }
    CPPUNIT_ASSERT(static_cast<double>(far) / count <= row.max_far_share_in_next);
}

const test_table<shift_row>
    shifts("region_shift",
           {{"from all near", 10, 0.1, 0.13}, {"from half", 5, 0.1, 0.63}, {"without a limit", 10, 0, 1.0}},
           check_shift);

// Without a past the own region is taken to have run everything.
void a_start_is_no_shift() {
    region_shift_limiter shift;
    const region_shift_limits terms{0.1, milliseconds(2000)};
    int far = 0;
    for (int i = 0; i < 100; ++i) {
        const instant now = start + i * milliseconds(15);
        const bool goes_far = may_send_to_region(shift, terms, "far", 0, now);
        CPPUNIT_ASSERT(may_send_to_region(shift, terms, "near", 1, now));
        record_region_request(shift, terms, goes_far ? "far" : "near", now);
        far += goes_far ? 1 : 0;
    }
    CPPUNIT_ASSERT(far >= 1 && far <= 12);
}

void a_pause_is_a_new_start() {
    region_shift_limiter shift;
    const region_shift_limits terms{0.1, milliseconds(2000)};
    for (int i = 0; i < 100; ++i) {
        record_region_request(shift, terms, "far", start);
    }
    const instant later = start + seconds(60);
    record_region_request(shift, terms, "near", later);
    record_region_request(shift, terms, "far", later);
    CPPUNIT_ASSERT(!may_send_to_region(shift, terms, "far", 0, later));
    CPPUNIT_ASSERT(may_send_to_region(shift, terms, "near", 1, later));
}

// With few requests, shares jump by chance. A request for an object that belongs to the near region must not
// be sent away for that: it would be cold there.
void the_plan_is_followed_under_the_cap() {
    region_shift_limiter shift;
    const region_shift_limits terms{0.15, milliseconds(2000)};
    const region_shares shares{{"near", 0.9}, {"far", 0.1}};
    for (int i = 0; i < 6; ++i) {
        record_region_request(shift, terms, i % 2 == 0 ? "far" : "near", start);
    }
    const instant later = start + milliseconds(2000);
    for (int i = 0; i < 20; ++i) {
        record_region_request(shift, terms, "near", later);
    }
    const std::set<std::string> regions{"near", "far"};
    CPPUNIT_ASSERT(eligible_regions(shift, terms, regions, shares, "near", "near", later) == regions);
    CPPUNIT_ASSERT(eligible_regions(shift, terms, regions, shares, "near", "far", later) ==
                   std::set<std::string>{"far"});
}

const test_table<scenario>
    details("budget details",
            {{"restarted copies do not renew the burst", restarted_copies_do_not_renew_the_burst},
             {"silent VMs keep their part", silent_vms_keep_their_part},
             {"lowered limits bind at once", lowered_limits_bind_at_once},
             {"unlimited workspaces are never refused", unlimited_workspaces_are_never_refused},
             {"the wait is that of the next token", the_wait_is_that_of_the_next_token},
             {"a start is no shift", a_start_is_no_shift},
             {"a pause is a new start", a_pause_is_a_new_start},
             {"the plan is followed under the cap", the_plan_is_followed_under_the_cap}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
