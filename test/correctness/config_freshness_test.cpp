// Tests when a VM may serve authenticated requests.

#include "config_freshness.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

constexpr seconds max_age{3};
const instant start{seconds{100}};

// What a VM has received before the check. Ages are in seconds before the check; a negative proof age means
// that there was no proof.
struct freshness_row {
    std::string name;
    std::uint64_t generation;
    bool synced;
    int proof_age;
    std::uint64_t proof_generation;
    std::vector<std::pair<std::uint64_t, int>> member_reports;
    std::vector<incarnation_list> lists;
    freshness_status status;
};

void check_row(const freshness_row& row) {
    freshness_state state;
    state.self = 1;
    state.synced = row.synced;
    advance_generation(state, row.generation);
    if (row.proof_age >= 0) {
        record_store_proof(state, {row.proof_generation, start - seconds{row.proof_age}});
    }
    for (const auto& [member, age] : row.member_reports) {
        record_member_report(state, member, {row.generation, start - seconds{age}});
    }
    const freshness_status status = check_freshness(state, row.lists, max_age, start);
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(row.status)), std::string(to_string(status)));
}

const test_table<freshness_row> freshness_table(
    "config_freshness",
    {
        {"fresh proof", 5, false, 1, 5, {}, {}, freshness_status::confirmed_by_store},
        {"proof exactly as old as the limit",
         5,
         true,
         3,
         5,
         {},
         {{1, 2, 3}},
         freshness_status::no_fresh_proof},
        {"proof of a newer generation", 5, true, 1, 6, {}, {{1, 2, 3}}, freshness_status::outdated},
        {"no generation held", 0, false, 1, 0, {}, {}, freshness_status::not_synced},
        {"majority including its own vote",
         5,
         true,
         -1,
         0,
         {{2, 1}},
         {{1, 2, 3}},
         freshness_status::confirmed_by_majority},
        {"own vote does not count before the first sync",
         5,
         false,
         -1,
         0,
         {{2, 1}},
         {{1, 2, 3}},
         freshness_status::not_synced},
        {"majority of other members syncs the VM",
         5,
         false,
         -1,
         0,
         {{2, 1}, {3, 1}},
         {{1, 2, 3}},
         freshness_status::confirmed_by_majority},
        {"half is not a majority",
         5,
         true,
         -1,
         0,
         {{2, 1}},
         {{1, 2, 3, 4}},
         freshness_status::no_fresh_proof},
        {"stale reports", 5, true, -1, 0, {{2, 3}, {3, 4}}, {{1, 2, 3}}, freshness_status::no_fresh_proof},
        {"reports from non-members",
         5,
         true,
         -1,
         0,
         {{8, 1}, {9, 1}},
         {{1, 2, 3}},
         freshness_status::no_fresh_proof},
        {"both lists need a majority",
         5,
         true,
         -1,
         0,
         {{2, 1}},
         {{1, 2, 3}, {2, 4, 5}},
         freshness_status::no_fresh_proof},
        {"majority of both lists",
         5,
         true,
         -1,
         0,
         {{2, 1}, {4, 1}},
         {{1, 2, 3}, {2, 4, 5}},
         freshness_status::confirmed_by_majority},
        {"no list gives no majority", 5, true, -1, 0, {{2, 1}}, {}, freshness_status::no_fresh_proof},
    },
    check_row);

void newer_report_makes_vm_outdated() {
    freshness_state state;
    state.self = 1;
    advance_generation(state, 5);
    record_store_proof(state, {5, start});
    record_member_report(state, 2, {6, start});
    CPPUNIT_ASSERT(check_freshness(state, {{1, 2, 3}}, max_age, start) == freshness_status::outdated);
    advance_generation(state, 6);
    CPPUNIT_ASSERT(check_freshness(state, {{1, 2, 3}}, max_age, start) ==
                   freshness_status::confirmed_by_store);
}

void generation_never_decreases() {
    freshness_state state;
    advance_generation(state, 6);
    advance_generation(state, 5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, state.generation);
}

void newest_proof_is_kept() {
    freshness_state state;
    record_store_proof(state, {5, start});
    record_store_proof(state, {6, start - seconds{2}});
    record_store_proof(state, {4, start + seconds{1}});
    CPPUNIT_ASSERT(state.store_proof->requested_at == start + seconds{1});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.store_proof->generation);
}

void every_list_needs_a_majority() {
    freshness_state state;
    state.self = 1;
    state.synced = true;
    advance_generation(state, 7);
    record_member_report(state, 2, {7, start});
    CPPUNIT_ASSERT(is_held_by_majorities(state, {{1, 2, 3}}, {}, 7));
    CPPUNIT_ASSERT(!is_held_by_majorities(state, {{1, 2, 3}, {3, 4, 5}}, {}, 7));
    CPPUNIT_ASSERT(!is_held_by_majorities(state, {{1, 2, 3}}, {}, 8));
    // Ended members are neither voters nor votes.
    CPPUNIT_ASSERT(is_held_by_majorities(state, {{1, 6, 7}}, {6, 7}, 7));
}

const test_table<scenario> scenarios("config_freshness_history",
                                     {{"a newer report makes a VM outdated", newer_report_makes_vm_outdated},
                                      {"the generation never decreases", generation_never_decreases},
                                      {"the newest proof and generation are kept", newest_proof_is_kept},
                                      {"every list needs a majority", every_list_needs_a_majority}},
                                     run_scenario);

} // namespace
} // namespace cassiaspan::test
