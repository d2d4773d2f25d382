// Which VMs lookups list: the largest, as many as the demand needs, and all of a fleet of equal VMs.

#include "lookup_tiers.h"
#include "table_test.h"

#include <algorithm>

namespace cassiaspan::test {
namespace {

constexpr instant start{seconds(1000)};

// VMs with 0.5 cores and 200 Mbit/s, which serve 200 requests per second at the default cost, and with 0.1
// cores and 10 Mbit/s, which serve 25.
lookup_candidate large(std::uint64_t id, std::uint64_t zone) {
    return {id, zone, 500, 200, false};
}
lookup_candidate small(std::uint64_t id, std::uint64_t zone) {
    return {id, zone, 100, 10, false};
}
lookup_candidate busy(lookup_candidate candidate) {
    candidate.is_busy = true;
    return candidate;
}

// Returns VMs alternating over two zones, with ids from 1 on; the large ones come last.
std::vector<lookup_candidate> make_region(std::size_t small_vms, std::size_t large_vms) {
    std::vector<lookup_candidate> region;
    for (std::size_t i = 0; i < small_vms + large_vms; ++i) {
        region.push_back(i < small_vms ? small(i + 1, i % 2) : large(i + 1, i % 2));
    }
    return region;
}

std::vector<lookup_candidate> all_large_busy() {
    std::vector<lookup_candidate> region = make_region(30, 4);
    std::transform(region.begin() + 30, region.end(), region.begin() + 30, busy);
    return region;
}

std::vector<lookup_candidate> without_large_vms_of_one_zone() {
    std::vector<lookup_candidate> region = make_region(30, 4);
    std::erase_if(region,
                  [](const lookup_candidate& vm) { return vm.cpu_millicores == 500 && vm.zone == 0; });
    return region;
}

struct tier_row {
    std::string name;
    std::vector<lookup_candidate> candidates;
    double demand;
    std::size_t expected_size;
    // Id of the VM that is listed first.
    std::uint64_t expected_first;
    double expected_capacity;
};

void check_tiers(const tier_row& row) {
    const lookup_choice choice = choose_listed_vms(row.candidates, row.demand, {}, {}, start);
    CPPUNIT_ASSERT_EQUAL(row.expected_size, choice.listed.size());
    CPPUNIT_ASSERT_EQUAL(row.expected_first, row.candidates.at(choice.listed.front()).id);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(row.expected_capacity, choice.capacity, 0.01);
}

const test_table<tier_row> tiers(
    "lookup_tiers",
    {{"equal VMs are all listed", make_region(30, 0), 0, 30, 1, 750},
     {"nearly equal VMs are all listed",
      {{1, 0, 80, 10, false},
       {2, 0, 70, 10, false},
       small(3, 0),
       small(4, 1),
       small(5, 1),
       {6, 1, 100, 8, false}},
      0,
      6,
      1,
      145},
     {"the large VMs without demand", make_region(30, 4), 0, 4, 31, 800},
     {"the large VMs while they serve twice the demand", make_region(30, 4), 400, 4, 31, 800},
     {"all VMs beyond that", make_region(30, 4), 401, 34, 31, 1550},
     {"all VMs when the large ones are busy", all_large_busy(), 201, 34, 31, 1150},
     {"the large VMs while busy ones suffice", all_large_busy(), 200, 4, 31, 400},
     {"a tier between them",
      {large(1, 0),
       large(2, 1),
       large(3, 0),
       large(4, 1),
       {5, 0, 200, 50, false},
       {6, 1, 200, 50, false},
       small(7, 0),
       small(8, 1)},
      450,
      6,
      1,
      960},
     // With two large VMs listed alone, the end of their zone would leave the region's callers without a VM.
     {"the large VMs of one zone are gone", without_large_vms_of_one_zone(), 0, 32, 32, 1150},
     {"a zone without large VMs",
      {large(1, 0), large(2, 0), large(3, 0), large(4, 0), large(5, 0), small(6, 1), small(7, 1),
       small(8, 1)},
      0,
      8,
      1,
      1075},
     {"a zone with one VM", {large(1, 0), large(2, 0), large(3, 0), large(4, 1), small(5, 0)}, 0, 4, 1, 800},
     {"two VMs", {small(1, 0), large(2, 1)}, 0, 2, 2, 225},
     {"one VM", {small(1, 0)}, 1000, 1, 1, 25},
     {"more demand than all VMs serve", make_region(4, 4), 1e6, 8, 5, 900},
     {"unknown cores count by the link alone",
      {{1, 0, 0, 200, false}, {2, 1, 0, 200, false}, large(3, 0), large(4, 1), {5, 0, 0, 10, false}},
      0,
      4,
      1,
      1400},
     {"an unknown link counts by the cores alone",
      {{1, 0, 500, 0, false}, {2, 1, 500, 0, false}, large(3, 0), large(4, 1), {5, 0, 100, 0, false}},
      0,
      4,
      1,
      800},
     {"all VMs if one has no known capacity",
      {large(1, 0), large(2, 1), large(3, 0), large(4, 1), small(5, 0), {6, 1, 0, 0, false}},
      0,
      6,
      1,
      0}},
    check_tiers);

// Guards against a list that changes with each wave of the demand: callers close connections to VMs that are
// no longer listed.
void flapping_demand_does_not_change_the_list() {
    const std::vector<lookup_candidate> region = make_region(30, 4);
    lookup_choice choice = choose_listed_vms(region, 390, {}, {}, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, choice.listed.size());
    instant now = start;
    for (int i = 0; i < 20; ++i) {
        now += seconds(3);
        choice = choose_listed_vms(region, i % 2 == 0 ? 410 : 390, {}, choice, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{34}, choice.listed.size());
    }
    // The last increase was 3 s ago.
    choice = choose_listed_vms(region, 390, {}, choice, now + seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{34}, choice.listed.size());
    choice = choose_listed_vms(region, 390, {}, choice, now + seconds(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, choice.listed.size());
}

// A VM that is no longer a candidate must not stay listed for the time for which the list does not shrink.
void ended_vms_are_not_kept() {
    std::vector<lookup_candidate> region = make_region(30, 4);
    const lookup_choice all = choose_listed_vms(region, 500, {}, {}, start);
    region.erase(region.begin() + 3, region.begin() + 5);
    const lookup_choice rest = choose_listed_vms(region, 0, {}, all, start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(region.size(), rest.listed.size());
}

// Replies have room for 64 VMs, so in a large fleet the order decides which ones callers use.
void large_vms_come_first() {
    const std::vector<lookup_candidate> region = make_region(3480, 20);
    const lookup_choice wide = choose_listed_vms(region, 2100, {}, {}, start);
    CPPUNIT_ASSERT_EQUAL(region.size(), wide.listed.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3481}, region.at(wide.listed.front()).id);
    const lookup_choice kept = choose_listed_vms(region, 0, {}, wide, start + seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, kept.listed.size());
    CPPUNIT_ASSERT(std::all_of(kept.listed.begin(), kept.listed.end(),
                               [&region](std::size_t i) { return region[i].cpu_millicores == 500; }));
}

struct cost_row {
    std::string name;
    // Per second; CPU time of background work, and per request.
    int requests;
    milliseconds background;
    microseconds per_request;
    std::uint64_t bytes_per_request;
    request_cost expected;
};

void check_cost(const cost_row& row) {
    request_cost_meter meter;
    usage_totals totals;
    instant now = start;
    for (int second = 0; second < 60; ++second) {
        // The VM starts without requests.
        const int requests = second < 30 ? 0 : row.requests;
        totals.cpu_time += row.background + requests * row.per_request;
        totals.requests += static_cast<std::uint64_t>(requests);
        totals.bytes += static_cast<std::uint64_t>(requests) * row.bytes_per_request;
        now += seconds(1);
        sample_usage(meter, totals, requests == 0, now);
    }
    const request_cost cost = measured_request_cost(meter);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(row.expected.cpu_ms, cost.cpu_ms, 0.02 * row.expected.cpu_ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(row.expected.bytes, cost.bytes, 0.02 * row.expected.bytes);
}

const test_table<cost_row>
    costs("request_cost",
          {{"defaults with few requests", 4, milliseconds(5), microseconds(3000), 90'000, {}},
           {"measured", 100, milliseconds(0), microseconds(500), 35'000, {0.5, 35'000}},
           {"background work is not a cost of requests",
            10,
            milliseconds(20),
            microseconds(700),
            5000,
            {0.7, 5000}},
           {"lower bounds", 1000, milliseconds(0), microseconds(20), 100, {0.1, 1000}},
           {"upper bounds", 10, milliseconds(0), microseconds(40'000), 3'000'000, {10, 1'000'000}}},
          check_cost);

const test_table<scenario>
    scenarios("lookup_tiers over time",
              {{"flapping demand does not change the list", flapping_demand_does_not_change_the_list},
               {"ended VMs are not kept", ended_vms_are_not_kept},
               {"large VMs come first", large_vms_come_first}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
