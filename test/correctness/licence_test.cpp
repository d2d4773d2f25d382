// When a VM may serve keyed work.

#include "licence.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

constexpr seconds freshness{3};
const instant start{seconds{100}};

// What a VM has seen, at ages in seconds before it is judged; a negative age means never.
struct licence_row {
    std::string name;
    std::uint64_t generation;
    bool synced;
    int proof_age;
    std::uint64_t proof_generation;
    std::vector<std::pair<std::uint64_t, int>> heard;
    std::vector<electorate> lists;
    licence_verdict verdict;
};

void check_licence(const licence_row& row) {
    licence_state state;
    state.self = 1;
    state.synced = row.synced;
    adopt(state, row.generation);
    if (row.proof_age >= 0) {
        note_store_proof(state, {row.proof_generation, start - seconds{row.proof_age}});
    }
    for (const auto& [member, age] : row.heard) {
        note_member(state, member, {row.generation, start - seconds{age}});
    }
    const licence_verdict verdict = judge(state, row.lists, freshness, start);
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(row.verdict)), std::string(to_string(verdict)));
}

const test_table<licence_row> licence_table(
    "licence",
    {
        {"fresh proof", 5, false, 1, 5, {}, {}, licence_verdict::by_store},
        {"proof just too old", 5, true, 3, 5, {}, {{1, 2, 3}}, licence_verdict::no_proof},
        {"proof of a newer generation", 5, true, 1, 6, {}, {{1, 2, 3}}, licence_verdict::behind},
        {"nothing held", 0, false, 1, 0, {}, {}, licence_verdict::not_synced},
        {"majority with its own vote", 5, true, -1, 0, {{2, 1}}, {{1, 2, 3}}, licence_verdict::by_majority},
        {"own vote needs a sync first", 5, false, -1, 0, {{2, 1}}, {{1, 2, 3}}, licence_verdict::not_synced},
        {"majority of others syncs",
         5,
         false,
         -1,
         0,
         {{2, 1}, {3, 1}},
         {{1, 2, 3}},
         licence_verdict::by_majority},
        {"half is no majority", 5, true, -1, 0, {{2, 1}}, {{1, 2, 3, 4}}, licence_verdict::no_proof},
        {"stale voices", 5, true, -1, 0, {{2, 3}, {3, 4}}, {{1, 2, 3}}, licence_verdict::no_proof},
        {"voices from outside the list",
         5,
         true,
         -1,
         0,
         {{8, 1}, {9, 1}},
         {{1, 2, 3}},
         licence_verdict::no_proof},
        {"both lists need a majority",
         5,
         true,
         -1,
         0,
         {{2, 1}},
         {{1, 2, 3}, {2, 4, 5}},
         licence_verdict::no_proof},
        {"majority of both lists",
         5,
         true,
         -1,
         0,
         {{2, 1}, {4, 1}},
         {{1, 2, 3}, {2, 4, 5}},
         licence_verdict::by_majority},
        {"no list, no majority", 5, true, -1, 0, {{2, 1}}, {}, licence_verdict::no_proof},
    },
    check_licence);

void newer_voice_makes_behind() {
    licence_state state;
    state.self = 1;
    adopt(state, 5);
    note_store_proof(state, {5, start});
    note_member(state, 2, {6, start});
    CPPUNIT_ASSERT(judge(state, {{1, 2, 3}}, freshness, start) == licence_verdict::behind);
    adopt(state, 6);
    CPPUNIT_ASSERT(judge(state, {{1, 2, 3}}, freshness, start) == licence_verdict::by_store);
}

void generation_never_reverts() {
    licence_state state;
    adopt(state, 6);
    adopt(state, 5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, state.generation);
}

void late_proof_keeps_newest() {
    licence_state state;
    note_store_proof(state, {5, start});
    note_store_proof(state, {6, start - seconds{2}});
    note_store_proof(state, {4, start + seconds{1}});
    CPPUNIT_ASSERT(state.store_proof->asked == start + seconds{1});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.store_proof->generation);
}

void acceptance_needs_every_list() {
    licence_state state;
    state.self = 1;
    state.synced = true;
    adopt(state, 7);
    note_member(state, 2, {7, start});
    CPPUNIT_ASSERT(is_accepted(state, {{1, 2, 3}}, {}, 7));
    CPPUNIT_ASSERT(!is_accepted(state, {{1, 2, 3}, {3, 4, 5}}, {}, 7));
    CPPUNIT_ASSERT(!is_accepted(state, {{1, 2, 3}}, {}, 8));
    // Members that have ended count neither way.
    CPPUNIT_ASSERT(is_accepted(state, {{1, 6, 7}}, {6, 7}, 7));
}

const test_table<scenario> scenarios("licence_history",
                                     {{"a newer voice makes a VM behind", newer_voice_makes_behind},
                                      {"a generation never reverts", generation_never_reverts},
                                      {"a late proof keeps the newest", late_proof_keeps_newest},
                                      {"acceptance needs every list", acceptance_needs_every_list}},
                                     run_scenario);

} // namespace
} // namespace cassiaspan::test
