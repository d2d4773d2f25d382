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
            {{"callers of a small region start distributed over regions",
              callers_of_a_small_region_start_distributed_over_regions},
             {"keys are distributed by the shares", keys_are_distributed_by_the_shares},
             {"few keys move", few_keys_move},
             {"shares move in bounded steps", shares_move_in_bounded_steps},
             {"demand is averaged", demand_is_averaged}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
