// Which callers give way when a VM has no room.

#include "eviction.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

constexpr instant now{seconds(100)};
constexpr caller_source one{1};
constexpr caller_source other{2};

// A holder that came `age` ago and last made progress `silence` ago.
caller_holding make_holder(std::size_t amount, milliseconds age, milliseconds silence,
                           std::uint64_t moved_bytes = 100'000, caller_source source = one,
                           caller_stage stage = caller_stage::body) {
    return {source, stage, amount, moved_bytes, now - age, now - silence};
}

constexpr milliseconds young{900};
constexpr milliseconds settled{2000};
constexpr milliseconds long_time{6000};
constexpr milliseconds recent{10};
constexpr auto header = caller_stage::header;

struct eviction_row {
    std::string name;
    std::vector<caller_holding> holders;
    newcomer arriving;
    std::vector<std::size_t> expected;
};

void check_eviction(const eviction_row& row) {
    CPPUNIT_ASSERT(row.expected == choose_evictions(row.holders, row.arriving, now));
}

std::vector<caller_holding> make_source(std::size_t count, std::size_t amount, caller_source source) {
    return std::vector<caller_holding>(count, make_holder(amount, young, recent, 100'000, source));
}

std::vector<caller_holding> join(std::vector<caller_holding> first,
                                 const std::vector<caller_holding>& second) {
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

const test_table<eviction_row> evictions(
    "evictions",
    {{"nobody holds anything", {}, {one, 1, 1}, {}},
     {"callers that have just come keep their place", {make_holder(1, young, young, 0)}, {one, 1, 1}, {}},
     {"a caller without progress gives way", {make_holder(1, settled, settled, 1)}, {one, 1, 1}, {0}},
     {"one that sends a few bytes again and again gives way",
      {make_holder(1, settled, recent, 900)},
      {one, 1, 1},
      {0}},
     {"one that makes progress keeps its place", {make_holder(1, settled, recent)}, {one, 1, 1}, {}},
     {"but not for long", {make_holder(1, long_time, recent)}, {one, 1, 1}, {0}},
     {"no progress goes before a long time",
      {make_holder(1, long_time, recent), make_holder(1, settled, settled, 1)},
      {one, 1, 1},
      {1}},
     {"of those without progress, the slowest goes first",
      {make_holder(1, settled, settled, 900), make_holder(1, settled, settled, 1)},
      {one, 1, 1},
      {1}},
     {"of those that hold for long, the slowest goes first",
      {make_holder(1, long_time, recent, 900'000), make_holder(1, long_time, recent, 50'000)},
      {one, 1, 1},
      {1}},
     {"of equal ones, the oldest goes first",
      {make_holder(1, settled, settled, 0), make_holder(1, long_time, settled, 0)},
      {one, 1, 1},
      {1}},
     {"who holds the most goes first",
      {make_holder(10, settled, recent), make_holder(50, settled, recent), make_holder(20, settled, recent)},
      {one, 5, 5},
      {1}},
     {"who holds less than the newcomer needs does not give way to it",
      {make_holder(10, settled, recent), make_holder(10, settled, recent)},
      {one, 15, 15},
      {}},
     {"who makes no progress gives way to a larger one",
      {make_holder(10, settled, settled, 0), make_holder(10, settled, settled, 0)},
      {one, 15, 15},
      {0, 1}},
     {"only what is missing is freed",
      {make_holder(10, settled, settled, 0), make_holder(10, settled, settled, 0)},
      {one, 15, 5},
      {0}},
     {"nobody gives way in vain", {make_holder(10, settled, settled, 0)}, {one, 15, 15}, {}},
     {"who holds nothing of what is short is not asked",
      {make_holder(0, settled, settled, 0), make_holder(10, settled, settled, 0)},
      {one, 5, 5},
      {1}},
     {"a header that is not complete soon gives way",
      {make_holder(1, milliseconds(300), recent, 0, one, header), make_holder(1, milliseconds(300), recent)},
      {one, 1, 1},
      {0}},
     {"but one that may just be arriving does not",
      {make_holder(1, milliseconds(200), recent, 0, one, header)},
      {one, 1, 1},
      {}},
     {"no progress goes before an incomplete header",
      {make_holder(1, milliseconds(300), recent, 0, one, header), make_holder(1, settled, settled, 1)},
      {one, 1, 1},
      {1}},
     {"the source that holds the most goes first",
      {make_holder(10, settled, settled, 0, one), make_holder(10, settled, settled, 0, other),
       make_holder(10, settled, settled, 0, other)},
      {one, 5, 5},
      {1}},
     {"a source that holds most of the room gives way at any age",
      join(make_source(1, 10, one), make_source(9, 10, other)),
      {one, 10, 10},
      {1}},
     {"but not to itself", join(make_source(1, 10, one), make_source(9, 10, other)), {other, 10, 10}, {}},
     {"and not to another large one",
      join(make_source(4, 10, one), make_source(6, 10, other)),
      {one, 10, 10},
      {}}},
    check_eviction);

} // namespace
} // namespace cassiaspan::test
