// How objects are divided between regions when one region asks for more than its targets can bear.

#include "region_shares.h"
#include "table_test.h"

#include <cmath>

namespace cassiaspan::test {
namespace {

constexpr double tolerance = 0.01;

struct balance_row {
    std::string name;
    std::map<std::string, region_load> regions;
    // Parts of the objects of the callers of region "a".
    region_shares expected;
};

void check_balance(const balance_row& row) {
    const region_shares shares = compute_region_shares(row.regions, "a");
    for (const auto& [region, supply] : row.regions) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(share_of(row.expected, "a", region), share_of(shares, "a", region),
                                     tolerance);
    }
}

const test_table<balance_row> balances(
    "region_shares",
    {{"nobody asks", {{"a", {0, 10}}, {"b", {0, 10}}}, {{"a", 1}}},
     {"own targets bear it", {{"a", {6, 10}}, {"b", {0, 100}}}, {{"a", 1}}},
     {"the rest goes where room is",
      {{"a", {15, 10}}, {"b", {7.5, 20}}, {"c", {15, 20}}},
      {{"a", 0.5}, {"b", 0.5}}},
     {"rooms are filled alike",
      {{"a", {15, 10}}, {"b", {5, 20}}, {"c", {10, 20}}},
      {{"a", 0.5}, {"b", 0.333}, {"c", 0.167}}},
     {"a region without targets", {{"a", {10, 0}}, {"b", {1, 40}}}, {{"b", 1}}},
     {"too little for all is shared evenly",
      {{"a", {30, 10}}, {"b", {30, 20}}, {"c", {30, 30}}},
      {{"a", 0.5}, {"c", 0.5}}},
     {"an overloaded region keeps its own", {{"a", {60, 30}}, {"b", {10, 10}}}, {{"a", 0.875}, {"b", 0.125}}},
     {"no targets at all", {{"a", {10, 0}}, {"b", {10, 0}}}, {{"a", 1}}}},
    check_balance);

// The load of a day on which one of three regions has a seventh of the targets and a third of the callers.
void callers_of_a_small_region_start_spread_out() {
    const std::map<std::string, region_load> regions{{"a", {0, 18}}, {"b", {0, 54}}, {"c", {0, 54}}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(18.0 / 42, share_of(initial_region_shares(regions, "a"), "a", "a"),
                                 tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, share_of(initial_region_shares(regions, "b"), "b", "b"), tolerance);
}

void keys_follow_the_parts() {
    const region_shares shares{{"a", 0.4}, {"b", 0.1}, {"c", 0.5}};
    constexpr int keys = 10'000;
    std::map<std::string, double> found;
    for (std::uint64_t key = 0; key < keys; ++key) {
        found[region_of_key(shares, "a", key)] += 1.0 / keys;
    }
    for (const auto& [region, share] : shares) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(share, found[region], 2 * tolerance);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a"), region_of_key({}, "a", 7));
}

// When parts move, only as many keys change their region as must.
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

void parts_move_step_by_step() {
    const region_shares wanted{{"a", 0.4}, {"b", 0.6}};
    region_shares shares{{"a", 1.0}};
    shares = step_towards(shares, wanted, "a", 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, share_of(shares, "a", "a"), tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, share_of(shares, "a", "b"), tolerance);
    for (int i = 0; i < 10; ++i) {
        shares = step_towards(shares, wanted, "a", 0.1);
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
            {{"callers of a small region start spread out", callers_of_a_small_region_start_spread_out},
             {"keys follow the parts", keys_follow_the_parts},
             {"few keys move", few_keys_move},
             {"parts move step by step", parts_move_step_by_step},
             {"demand is averaged", demand_is_averaged}},
            run_scenario);

} // namespace
} // namespace cassiaspan::test
