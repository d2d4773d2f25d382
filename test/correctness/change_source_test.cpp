// Whom a VM asks for changes of the store.

#include "change_source.h"
#include "table_test.h"

#include <map>

namespace cassiaspan::test {
namespace {

struct source_row {
    std::string name;
    std::vector<change_source> sources;
    // Indices that may be chosen by a VM at revision 100.
    std::vector<std::size_t> expected;
};

void check_source(const source_row& row) {
    std::map<std::size_t, int> chosen;
    for (std::uint64_t random = 0; random < 60; ++random) {
        const auto index = choose_change_source(row.sources, 100, random);
        CPPUNIT_ASSERT_EQUAL(row.expected.empty(), !index.has_value());
        if (index) {
            ++chosen[*index];
        }
    }
    CPPUNIT_ASSERT_EQUAL(row.expected.size(), chosen.size());
    for (const std::size_t index : row.expected) {
        // Requests spread evenly: no source is asked by all VMs.
        CPPUNIT_ASSERT_EQUAL(60 / static_cast<int>(row.expected.size()), chosen[index]);
    }
}

const test_table<source_row>
    sources("news_source",
            {{"nobody is ahead", {{100, true}, {90, false}}, {}},
             {"nobody at all", {}, {}},
             {"the only one ahead", {{100, true}, {101, false}}, {1}},
             {"near ones first", {{120, false}, {118, true}, {119, true}}, {1, 2}},
             {"far ones when no near one has enough", {{140, false}, {110, true}, {140, false}}, {0, 2}},
             {"those that have most of it", {{120, true}, {119, true}, {105, true}, {120, true}}, {0, 1, 3}}},
            check_source);

} // namespace
} // namespace cassiaspan::test
