// The copy of the store: newest revision first, whatever the source and order.

#include "store_mirror.h"
#include "table_test.h"

#include <algorithm>
#include <random>

namespace cassiaspan::test {
namespace {

store_change put(const std::string& key, std::uint64_t revision) {
    return {key, {"value " + std::to_string(revision), revision, false}};
}

store_change removal(const std::string& key, std::uint64_t revision) {
    return {key, {"", revision, true}};
}

void stale_changes_are_refused() {
    store_mirror mirror;
    CPPUNIT_ASSERT(merge_change(mirror, put("a", 5)));
    CPPUNIT_ASSERT(!merge_change(mirror, put("a", 4)));
    CPPUNIT_ASSERT(!merge_change(mirror, put("a", 5)));
    CPPUNIT_ASSERT(merge_change(mirror, removal("a", 6)));
    CPPUNIT_ASSERT(!merge_change(mirror, put("a", 5)));
}

void a_full_read_removes_what_it_lacks() {
    store_mirror mirror;
    merge_change(mirror, put("a", 1));
    merge_change(mirror, put("b", 2));
    const auto fresh = merge_snapshot(mirror, {put("b", 2), put("c", 3)}, 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fresh.size());
    CPPUNIT_ASSERT(mirror.items["a"].removed);
    CPPUNIT_ASSERT(!mirror.items["b"].removed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, mirror.revision);
}

void a_full_read_keeps_what_is_newer() {
    store_mirror mirror;
    merge_change(mirror, put("a", 9));
    CPPUNIT_ASSERT(merge_snapshot(mirror, {}, 8).empty());
    CPPUNIT_ASSERT(!mirror.items["a"].removed);
}

void old_removals_are_forgotten_first() {
    store_mirror mirror;
    for (std::uint64_t i = 1; i <= 5; ++i) {
        merge_change(mirror, removal("key " + std::to_string(i), i));
    }
    prune_tombstones(mirror, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mirror.items.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, mirror.pruned_revision);
}

void changes_come_oldest_first() {
    store_mirror mirror;
    merge_change(mirror, put("a", 7));
    merge_change(mirror, put("b", 5));
    merge_change(mirror, put("c", 6));
    const auto changes = changes_since(mirror, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), changes.front().key);
}

const test_table<scenario> single("store_mirror",
                                  {{"stale changes are refused", stale_changes_are_refused},
                                   {"a full read removes what it lacks", a_full_read_removes_what_it_lacks},
                                   {"a full read keeps what is newer", a_full_read_keeps_what_is_newer},
                                   {"old removals are forgotten first", old_removals_are_forgotten_first},
                                   {"changes come oldest first", changes_come_oldest_first}},
                                  run_scenario);

struct order_row {
    std::string name;
    unsigned seed;
};

// A history delivered in any order, with repeats, ends in the same copy.
void check_order(const order_row& row) {
    std::mt19937 random(row.seed);
    std::vector<store_change> history;
    for (std::uint64_t revision = 1; revision <= 60; ++revision) {
        const std::string key = "key " + std::to_string(random() % 8);
        history.push_back(random() % 4 == 0 ? removal(key, revision) : put(key, revision));
    }
    store_mirror in_order;
    for (const store_change& change : history) {
        merge_change(in_order, change);
    }
    const std::vector<store_change> again(history.begin(), history.begin() + 20);
    history.insert(history.end(), again.begin(), again.end());
    std::shuffle(history.begin(), history.end(), random);
    store_mirror shuffled;
    for (const store_change& change : history) {
        merge_change(shuffled, change);
    }
    CPPUNIT_ASSERT(in_order.items == shuffled.items);
}

const test_table<order_row> orders("store_mirror order", {{"seed 1", 1}, {"seed 2", 2}, {"seed 3", 3}},
                                   check_order);

} // namespace
} // namespace cassiaspan::test
