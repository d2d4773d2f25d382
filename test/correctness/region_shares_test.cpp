// Distribution of keys over regions when one region's demand exceeds its capacity.

#include "region_shares.h"
#include "table_test.h"

#include <cmath>

namespace cassiaspan::test {
namespace {

constexpr double tolerance = 0.01;

struct balance_row {
    std::string name;
    std::map<std::string, region_load> regions;
    // Shares for the callers of region "a".
    region_shares expected;
};

void check_balance(const balance_row& row) {
    const region_shares shares = compute_region_shares(row.regions, "a");
    for (const auto& [region, load] : row.regions) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(share_of(row.expected, "a", region), share_of(shares, "a", region),
                                     tolerance);
    }
}

const test_table<balance_row>
    balances("region_shares",
             {{"no demand", {{"a", {0, 10}}, {"b", {0, 10}}}, {{"a", 1}}},
              {"the region's own capacity suffices", {{"a", {6, 10}}, {"b", {0, 100}}}, {{"a", 1}}},
              {"overflow goes to the region with spare capacity",
               {{"a", {15, 10}}, {"b", {7.5, 20}}, {"c", {15, 20}}},
               {{"a", 0.5}, {"b", 0.5}}},
              {"overflow is split in proportion to spare capacity",
               {{"a", {15, 10}}, {"b", {5, 20}}, {"c", {10, 20}}},
               {{"a", 0.5}, {"b", 0.333}, {"c", 0.167}}},
              {"a region without targets", {{"a", {10, 0}}, {"b", {1, 40}}}, {{"b", 1}}},
              {"overload is distributed evenly",
               {{"a", {30, 10}}, {"b", {30, 20}}, {"c", {30, 30}}},
               {{"a", 0.5}, {"c", 0.5}}},
              {"an overloaded region keeps what it can serve",
               {{"a", {60, 30}}, {"b", {10, 10}}},
               {{"a", 0.875}, {"b", 0.125}}},
              {"no targets in any region", {{"a", {10, 0}}, {"b", {10, 0}}}, {{"a", 1}}}},
             check_balance);

struct adjustment_row {
    std::string name;
    region_shares shares;
    std::map<std::string, region_load> regions;
    // Shares for the callers of region "a".
    region_shares expected;
};

void check_adjustment(const adjustment_row& row) {
    const region_shares shares = adjust_region_shares(row.shares, row.regions, "a");
    for (const auto& [region, load] : row.regions) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(share_of(row.expected, "a", region), share_of(shares, "a", region),
                                     tolerance);
    }
}

// Demand and capacity at the targets of regions of uneven size. Guards against a small region whose targets
// are busy with cold runs while the model of warm runs says that they have room.
const test_table<adjustment_row> adjustments(
    "region_shares adjustment",
    {{"a small region that is full gives keys away",
      {{"a", 0.6}, {"b", 0.4}},
      {{"a", {10, 20, 24}}, {"b", {50, 200, 50}}, {"c", {50, 200, 75}}},
      {{"a", 0.25}, {"b", 0.5}, {"c", 0.25}}},
     {"a small region with room takes keys back",
      {{"a", 0.3}, {"b", 0.7}},
      {{"a", {10, 20, 5}}, {"b", {50, 200, 50}}},
      {{"a", 0.6}, {"b", 0.4}}},
     {"a small difference changes nothing",
      {{"a", 0.3}, {"b", 0.7}},
      {{"a", {10, 20, 10.8}}, {"b", {50, 200, 50}}},
      {{"a", 0.3}, {"b", 0.7}}},
     {"a region without callers' requests serves its own keys",
      {{"a", 0.3}, {"b", 0.7}},
      {{"a", {0, 20, 0}}, {"b", {50, 200, 50}}},
      {{"a", 1}}},
     {"a share of nothing can grow",
      {{"a", 0}, {"b", 1}},
      {{"a", {10, 20, 0.2}}, {"b", {50, 200, 50}}},
      {{"a", 1}}},
     {"all regions above the planned occupancy are loaded alike",
      {{"a", 0.6}, {"b", 0.4}},
      {{"a", {30, 20, 30}}, {"b", {150, 180, 130}}},
      {{"a", 0.32}, {"b", 0.68}}},
     {"all regions equally full keep their shares",
      {{"a", 0.6}, {"b", 0.4}},
      {{"a", {30, 20, 20}}, {"b", {150, 180, 180}}},
      {{"a", 0.6}, {"b", 0.4}}},
     {"no usable target in the region", {{"a", 1}}, {{"a", {10, 0, 0}}, {"b", {50, 200, 50}}}, {{"b", 1}}},
     {"no usable target at all",
      {{"a", 0.5}, {"b", 0.5}},
      {{"a", {10, 0, 0}}, {"b", {5, 0, 0}}},
      {{"a", 1}}}},
    check_adjustment);

struct capacity_row {
    std::string name;
    std::map<std::string, double> slots;
    std::set<std::string> small;
};

void check_capacity(const capacity_row& row) {
    CPPUNIT_ASSERT(row.small == find_small_regions(row.slots));
}

const test_table<capacity_row>
    capacities("region_shares small regions",
               {{"equal", {{"a", 30}, {"b", 30}, {"c", 30}}, {}},
                {"slightly different", {{"a", 30}, {"b", 20}, {"c", 24}}, {}},
                {"a region with a tenth", {{"a", 24}, {"b", 120}, {"c", 120}}, {"a"}},
                {"a region without targets", {{"a", 0}, {"b", 30}}, {"a"}},
                {"one region", {{"a", 30}}, {}},
                {"none", {}, {}}},
               check_capacity);

// Targets of a small region whose runs take longer the more keys they serve. The shares must settle where the
// region is neither full nor idle, and not swing around it.
void shares_settle_where_runs_get_slower_with_more_keys() {
    constexpr double max_step = 0.0054;
    region_shares shares{{"a", 0.9}, {"b", 0.1}};
    double lowest = 1;
    double highest = 0;
    for (int step = 0; step < 600; ++step) {
        const double own = share_of(shares, "a", "a");
        const double time_per_run = 1 + 2 * own;
        const std::map<std::string, region_load> regions{{"a", {20, 20, 25 * own * time_per_run}},
                                                         {"b", {50, 200, 50}}};
        shares = step_towards(shares, adjust_region_shares(shares, regions, "a"), "a", max_step);
        if (step > 300) {
            lowest = std::min(lowest, own);
            highest = std::max(highest, own);
        }
    }
    CPPUNIT_ASSERT(lowest > 0.2 && highest < 0.35);
    CPPUNIT_ASSERT(highest - lowest <= 2 * max_step);
}

// One of three regions has 1/7 of the targets and 1/3 of the callers. Its callers must not all start in their
// own region, which would be overloaded until the demand is known.
void callers_of_a_small_region_start_distributed_over_regions() {
    const std::map<std::string, region_load> regions{{"a", {0, 18}}, {"b", {0, 54}}, {"c", {0, 54}}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(18.0 / 42, share_of(initial_region_shares(regions, "a"), "a", "a"),
                                 tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, share_of(initial_region_shares(regions, "b"), "b", "b"), tolerance);
}

void keys_are_distributed_by_the_shares() {
    const region_shares shares{{"a", 0.4}, {"b", 0.1}, {"c", 0.5}};
    constexpr int keys = 10'000;
    std::map<std::string, double> key_share;
    for (std::uint64_t key = 0; key < keys; ++key) {
        key_share[region_of_key(shares, "a", key)] += 1.0 / keys;
    }
    for (const auto& [region, share] : shares) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(share, key_share[region], 2 * tolerance);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a"), region_of_key({}, "a", 7));
}

// When shares change, only as many keys change region as necessary.
void few_keys_move() {
    const region_shares before{{"a", 0.5}, {"b", 0.25}, {"c", 0.25}};
    const region_shares after{{"a", 0.6}, {"b", 0.2}, {"c", 0.2}};
    constexpr int keys = 10'000;
    int moved = 0;
    for (std::uint64_t key = 0; key < keys; ++key) {
        moved += region_of_key(before, "a", key) != region_of_key(after, "a", key) ? 1 : 0;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, static_cast<double>(moved) / keys, tolerance);
}

void shares_move_in_bounded_steps() {
    const region_shares desired{{"a", 0.4}, {"b", 0.6}};
    region_shares shares{{"a", 1.0}};
    shares = step_towards(shares, desired, "a", 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, share_of(shares, "a", "a"), tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, share_of(shares, "a", "b"), tolerance);
    for (int i = 0; i < 10; ++i) {
        shares = step_towards(shares, desired, "a", 0.1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, share_of(shares, "a", "a"), tolerance);
}

void demand_is_averaged() {
    demand_meter meter;
    instant now{seconds(100)};
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(20);
        record_demand(meter, 1, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, demand_rate(meter, now), 2);
    CPPUNIT_ASSERT(demand_rate(meter, now + seconds(10)) < 1);
}

const test_table<scenario>
    details("region_shares",
            {{"shares settle where runs get slower with more keys",
              shares_settle_where_runs_get_slower_with_more_keys},
             {"callers of a small region start distributed over regions",
              callers_of_a_small_region_start_distributed_over_regions},
             {"keys are distributed by the shares", keys_are_distributed_by_the_shares},
             {"few keys move", few_keys_move},
             {"shares move in bounded steps", shares_move_in_bounded_steps},
             {"demand is averaged", demand_is_averaged}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
