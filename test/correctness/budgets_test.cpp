// Limits that hold over all VMs: workspace rates, retries, cold targets and traffic shifts between regions.

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
    // Delay of the reports between VMs, in steps of 10 ms; negative if reports never arrive.
    int report_steps;
    // Least fraction of the demand, capped at the rate, that must be admitted.
    double min_admitted;
};

// Simulates VMs with one replica each. In every window of 5 s the fleet must stay within rate x window +
// burst, plus a tolerance of 10 % and 20 requests.
void check_bucket(const bucket_row& row) {
    constexpr double rate = 100;
    constexpr double burst = 100;
    constexpr int steps = 3000;
    constexpr int window_steps = 500;
    const milliseconds step_time{10};
    const bucket_limits limits{rate, burst};
    const bucket_replicas vms{row.vms, row.report_steps < 0 ? 1 : row.vms};
    std::vector<fleet_token_bucket> replicas(row.vms, make_fleet_token_bucket(limits, start));
    std::vector<double> pending_requests(row.vms, 0);
    std::deque<std::pair<int, std::size_t>> reports;
    std::vector<int> admitted(steps, 0);
    for (int step = 0; step < steps; ++step) {
        const instant now = start + step * step_time;
        for (; !reports.empty() && reports.front().first <= step; reports.pop_front()) {
            for (std::size_t vm = 0; vm < row.vms; ++vm) {
                if (vm != reports.front().second) {
                    record_remote_tokens(replicas[vm], limits, 1);
                }
            }
        }
        for (std::size_t vm = 0; vm < row.vms; ++vm) {
            for (pending_requests[vm] += row.demand_per_vm * rate / 100; pending_requests[vm] >= 1;
                 pending_requests[vm] -= 1) {
                if (take_token(replicas[vm], limits, vms, now)) {
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
    const double demand = row.demand_per_vm * static_cast<double>(row.vms) * rate * 30;
    CPPUNIT_ASSERT(total >= row.min_admitted * std::min(demand, rate * 30));
}

const test_table<bucket_row> buckets("fleet_token_bucket",
                                     {{"one VM within the rate", 1, 0.6, 0, 0.99},
                                      {"one VM at five times the rate", 1, 5, 0, 0.99},
                                      {"eight VMs within the rate", 8, 0.07, 10, 0.99},
                                      {"eight VMs at five times the rate", 8, 0.62, 40, 0.95},
                                      {"eight VMs without reports", 8, 0.62, -1, 0.9},
                                      {"a sudden burst with late reports", 8, 1.0, 40, 0.95}},
                                     check_bucket);

void restarts_do_not_renew_the_burst() {
    const bucket_limits limits{100, 100};
    const bucket_replicas vms{1, 1};
    int admitted = 0;
    for (int restart = 0; restart < 4; ++restart) {
        fleet_token_bucket replica = make_fleet_token_bucket(limits, start);
        while (take_token(replica, limits, vms, start)) {
            ++admitted;
        }
    }
    CPPUNIT_ASSERT(admitted <= 200);
}

void vms_without_reports_keep_their_share() {
    const bucket_limits limits{100, 100};
    fleet_token_bucket replica{.tokens = 0, .refilled_at = start};
    refill(replica, limits, {4, 2}, start + seconds(1));
    CPPUNIT_ASSERT(replica.tokens > 49 && replica.tokens < 51);
}

void lowered_limits_apply_immediately() {
    const bucket_limits lower{10, 10};
    fleet_token_bucket replica{.tokens = 100, .refilled_at = start};
    refill(replica, lower, {1, 1}, start);
    CPPUNIT_ASSERT(replica.tokens <= 10);
}

void unlimited_workspaces_are_never_refused() {
    fleet_token_bucket replica{.tokens = 0, .refilled_at = start};
    CPPUNIT_ASSERT(take_token(replica, {0, 0}, {1, 1}, start));
    CPPUNIT_ASSERT(time_to_token(replica, {0, 0}) == milliseconds(0));
}

void time_to_token_covers_the_debt() {
    CPPUNIT_ASSERT(time_to_token({.tokens = -1, .refilled_at = start}, {10, 10}) == milliseconds(200));
}

struct retry_row {
    std::string name;
    std::size_t vms;
    int requests;
    // Largest number of retries that may be granted to this VM.
    double bound;
    int min_granted;
};

void check_retries(const retry_row& row) {
    const retry_budget_limits limits{0.2, 56, seconds(10)};
    retry_budget budget;
    for (int i = 0; i < row.requests; ++i) {
        record_request(budget, limits, start);
    }
    int granted = 0;
    while (try_take_retry(budget, limits, row.vms, start) && granted < 10'000) {
        ++granted;
    }
    CPPUNIT_ASSERT(granted <= row.bound);
    CPPUNIT_ASSERT(granted >= row.min_granted);
    // One window later, retries are granted again.
    CPPUNIT_ASSERT(try_take_retry(budget, limits, 1, start + seconds(11)));
}

const test_table<retry_row> retries("retry_budget",
                                    {{"slack only", 1, 0, 56, 40},
                                     {"1/8 of the slack", 8, 0, 7, 5},
                                     {"1/8 of the slack and 500 requests", 8, 500, 107, 80}},
                                    check_retries);

struct cold_row {
    std::string name;
    std::size_t vms;
    double rate;
    double max_in_one_second;
    // Time after the first second during which the target is unreachable and nothing is sent.
    milliseconds outage{};
};

// All VMs discover the cold target at the same time and always have requests for it, except during the
// outage.
void check_cold(const cold_row& row) {
    std::vector<cold_pacing> pacings(row.vms);
    std::deque<instant> sent;
    std::size_t worst = 0;
    std::size_t total = 0;
    for (int step = 0; step < 3000; ++step) {
        const instant now = start + step * milliseconds(1) + (step < 1000 ? milliseconds(0) : row.outage);
        for (std::size_t vm = 0; vm < row.vms; ++vm) {
            const cold_pacing_params params{row.rate, row.vms,
                                            static_cast<double>(vm) / static_cast<double>(row.vms)};
            if (may_send_to_cold_target(pacings[vm], params, now)) {
                record_sent_to_cold_target(pacings[vm], params, now);
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

// The limit is the cold target's rate x 1.5 + 5.
const test_table<cold_row> cold_rates("cold_pacing",
                                      {{"one VM", 1, 8, 17},
                                       {"eight VMs", 8, 7.5, 16.25},
                                       {"eighty VMs", 80, 14, 26},
                                       {"eighty VMs after an outage", 80, 5.9, 13.85, milliseconds(9000)},
                                       {"eight VMs after an outage", 8, 7.5, 16.25, milliseconds(9000)}},
                                      check_cold);

struct shift_row {
    std::string name;
    // Requests of the first 2 s that go to region "near", in tenths. After that, all would go to "far".
    int near_before;
    double max_share_increase;
    double max_far_share_in_next;
};

void check_shift(const shift_row& row) {
    const region_shift_limits limits{row.max_share_increase, milliseconds(2000)};
    region_shift_limiter limiter;
    int far = 0;
    int count = 0;
    for (int step = 0; step < 400; ++step) {
        const instant now = start + step * milliseconds(10);
        if (step < 200) {
            record_region_request(limiter, limits, step % 10 < row.near_before ? "near" : "far", now);
            continue;
        }
        const bool may_go_far = may_send_to_region(limiter, limits, "far", 0, now);
        record_region_request(limiter, limits, may_go_far ? "far" : "near", now);
        far += may_go_far ? 1 : 0;
        ++count;
    }
    CPPUNIT_ASSERT(static_cast<double>(far) / count <= row.max_far_share_in_next);
}

const test_table<shift_row> shifts("region_shift_limiter",
                                   {{"starting with all requests near", 10, 0.1, 0.13},
                                    {"starting with half of the requests near", 5, 0.1, 0.63},
                                    {"no limit", 10, 0, 1.0}},
                                   check_shift);

// Without a previous window, the planned shares are the baseline: the VM's own region has served everything.
void a_start_does_not_shift_traffic() {
    region_shift_limiter limiter;
    const region_shift_limits limits{0.1, milliseconds(2000)};
    int far = 0;
    for (int i = 0; i < 100; ++i) {
        const instant now = start + i * milliseconds(15);
        const bool may_go_far = may_send_to_region(limiter, limits, "far", 0, now);
        CPPUNIT_ASSERT(may_send_to_region(limiter, limits, "near", 1, now));
        record_region_request(limiter, limits, may_go_far ? "far" : "near", now);
        far += may_go_far ? 1 : 0;
    }
    CPPUNIT_ASSERT(far >= 1 && far <= 12);
}

void a_pause_resets_to_the_plan() {
    region_shift_limiter limiter;
    const region_shift_limits limits{0.1, milliseconds(2000)};
    for (int i = 0; i < 100; ++i) {
        record_region_request(limiter, limits, "far", start);
    }
    const instant later = start + seconds(60);
    record_region_request(limiter, limits, "near", later);
    record_region_request(limiter, limits, "far", later);
    CPPUNIT_ASSERT(!may_send_to_region(limiter, limits, "far", 0, later));
    CPPUNIT_ASSERT(may_send_to_region(limiter, limits, "near", 1, later));
}

// With few requests, shares vary randomly. A request whose key is assigned to the near region must not be
// sent to another region because of that, where it would run cold.
void the_planned_region_stays_eligible() {
    region_shift_limiter limiter;
    const region_shift_limits limits{0.15, milliseconds(2000)};
    const region_shares shares{{"near", 0.9}, {"far", 0.1}};
    for (int i = 0; i < 6; ++i) {
        record_region_request(limiter, limits, i % 2 == 0 ? "far" : "near", start);
    }
    const instant later = start + milliseconds(2000);
    for (int i = 0; i < 20; ++i) {
        record_region_request(limiter, limits, "near", later);
    }
    const std::set<std::string> regions{"near", "far"};
    CPPUNIT_ASSERT(eligible_regions(limiter, limits, regions, shares, "near", "near", later) == regions);
    CPPUNIT_ASSERT(eligible_regions(limiter, limits, regions, shares, "near", "far", later) ==
                   std::set<std::string>{"far"});
}

const test_table<scenario>
    details("budget details",
            {{"restarts do not renew the burst", restarts_do_not_renew_the_burst},
             {"VMs without reports keep their share", vms_without_reports_keep_their_share},
             {"lowered limits apply immediately", lowered_limits_apply_immediately},
             {"unlimited workspaces are never refused", unlimited_workspaces_are_never_refused},
             {"time to token covers the debt", time_to_token_covers_the_debt},
             {"a start does not shift traffic", a_start_does_not_shift_traffic},
             {"a pause resets to the plan", a_pause_resets_to_the_plan},
             {"the planned region stays eligible", the_planned_region_stays_eligible}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
