// How a VM divides its machine's memory and descriptors.

#include "memory_budget.h"
#include "table_test.h"

#include <numeric>

namespace cassiaspan::test {
namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;

struct machine_row {
    std::string name;
    std::size_t memory_bytes;
    std::size_t max_descriptors;
    std::size_t min_connections;
    std::size_t max_connections;
    // Requests that can be at targets at the same time.
    std::size_t min_requests;
};

// Guards against parts that together exceed the machine, and against limits that ordinary callers reach: the
// smallest machines have a tenth of a core and 112 MB.
void check_machine(const machine_row& row) {
    const auto budget = divide_memory(row.memory_bytes, row.max_descriptors);
    CPPUNIT_ASSERT(budget.has_value());
    const std::size_t total = std::accumulate(budget->parts.begin(), budget->parts.end(), std::size_t{0});
    CPPUNIT_ASSERT(total < row.memory_bytes);
    CPPUNIT_ASSERT(budget->max_caller_connections >= row.min_connections);
    CPPUNIT_ASSERT(budget->max_caller_connections <= row.max_connections);
    const std::size_t responses = budget->parts.at(static_cast<std::size_t>(memory_part::responses));
    CPPUNIT_ASSERT(responses / budget->request_bytes >= row.min_requests);
}

const test_table<machine_row>
    machines("memory_budget of a machine",
             {{"of the smallest size", 112 * mib, 2870, 800, 1335, 90},
              {"of the first deployment's smallest size", 160 * mib, 4100, 1000, 1950, 140},
              {"of the largest size", 512 * mib, 8192, 1900, 3996, 400},
              {"with few descriptors", 512 * mib, 400, 100, 100, 400},
              {"with fewer descriptors than files", 512 * mib, 100, 1, 1, 400},
              {"that is too small for the program", 1 * mib, 1000, 1, 1, 0}},
             check_machine);

struct share_row {
    std::string name;
    std::size_t part;
    std::size_t used;
    std::size_t most;
    std::size_t expected;
};

void check_share(const share_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.expected, share_of_one(row.part, row.used, row.most));
}

const test_table<share_row> shares("memory_budget share",
                                   {{"of an empty part", 8 * mib, 0, 512 * kib, 512 * kib},
                                    {"of a part that fills up", 8 * mib, 7 * mib, 512 * kib, 256 * kib},
                                    {"of a full part", 8 * mib, 8 * mib, 512 * kib, 0},
                                    {"of an exceeded part", 8 * mib, 9 * mib, 512 * kib, 0}},
                                   check_share);

struct limit_row {
    std::string name;
    std::size_t configured_bytes;
    std::size_t machine_bytes;
    std::size_t expected;
};

void check_limit(const limit_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.expected, choose_memory_limit(row.configured_bytes, row.machine_bytes));
}

const test_table<limit_row> limits("memory_budget limit",
                                   {{"as the settings say", 112 * mib, 64 * mib, 112 * mib},
                                    {"of a large machine", 0, 8192 * mib, 256 * mib},
                                    {"of a small machine", 0, 160 * mib, 80 * mib},
                                    {"of an unknown machine", 0, 0, 256 * mib}},
                                   check_limit);

struct usable_row {
    std::string name;
    std::size_t body_bytes;
    std::size_t part;
    std::size_t expected;
};

void check_usable(const usable_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.expected, usable_bytes(row.part, is_small_request(row.body_bytes)));
}

const test_table<usable_row> usable("memory_budget usable part",
                                    {{"without a body", 0, 8 * mib, 8 * mib},
                                     {"with the largest small body", 16 * kib, 8 * mib, 8 * mib},
                                     {"with a larger body", 16 * kib + 1, 8 * mib, 7 * mib}},
                                    check_usable);

struct target_row {
    std::string name;
    std::size_t body;
    std::size_t in_flight;
    std::size_t vms;
    bool fits;
};

void check_target(const target_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.fits, fits_target(row.body, row.in_flight, row.vms));
}

const test_table<target_row> targets("memory_budget of a target",
                                     {{"gets a single body of any size", 100 * mib, 0, 75, true},
                                      {"gets several small bodies", mib, mib, 75, true},
                                      {"gets no second large body", 2 * mib, mib, 75, false},
                                      {"gets more from each of few VMs", 2 * mib, mib, 3, true},
                                      {"gets no more than its bound", mib, 64 * mib, 1, false}},
                                     check_target);

void unlimited_memory_has_no_budget() {
    CPPUNIT_ASSERT(!divide_memory(0, 4100).has_value());
}

const test_table<scenario>
    scenarios("memory_budget", {{"unlimited memory has none", unlimited_memory_has_no_budget}}, run_scenario);

} // namespace
} // namespace cassiaspan::test
