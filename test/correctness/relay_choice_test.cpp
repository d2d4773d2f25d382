// Choice of the peer that serves a request for a VM that cannot reach the targets.

#include "relay_choice.h"
#include "table_test.h"

#include <map>

namespace cassiaspan::test {
namespace {

struct relay_row {
    std::string name;
    std::vector<relay_candidate> candidates;
    // Indices that may be chosen.
    std::vector<std::size_t> expected;
};

void check_choice(const relay_row& row) {
    std::mt19937_64 random(7);
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 400; ++i) {
        const auto index = choose_relay(row.candidates, random);
        CPPUNIT_ASSERT_EQUAL(row.expected.empty(), !index.has_value());
        if (index) {
            ++chosen[*index];
        }
    }
    CPPUNIT_ASSERT_EQUAL(row.expected.size(), chosen.size());
    for (const std::size_t index : row.expected) {
        CPPUNIT_ASSERT(chosen[index] > 0);
    }
}

const test_table<relay_row> choices(
    "relay_choice",
    {{"no peer", {}, {}},
     {"one peer", {{true, true, 100, 50}}, {0}},
     {"the own region comes first", {{false, false, 1000, 0}, {false, true, 10, 9}}, {1}},
     {"another region if the own one has none", {{false, false, 100, 0}, {false, false, 100, 0}}, {0, 1}},
     {"all peers of the region share the requests",
      {{true, true, 100, 0}, {true, true, 100, 0}, {true, true, 100, 0}},
      {0, 1, 2}},
     // Only when both draws are the same peer, it is taken whatever its load.
     {"a loaded peer is taken less often", {{true, true, 100, 90}, {true, true, 100, 0}}, {0, 1}}},
    check_choice);

struct share_row {
    std::string name;
    relay_candidate first;
    relay_candidate second;
    // Least fraction of the requests that the first one gets.
    double min_share = 0;
};

void check_share(const share_row& row) {
    std::mt19937_64 random(7);
    constexpr int draws = 2000;
    int first = 0;
    for (int i = 0; i < draws; ++i) {
        first += choose_relay({row.first, row.second}, random) == std::size_t{0} ? 1 : 0;
    }
    CPPUNIT_ASSERT(first > draws * row.min_share);
}

// Two draws of two peers differ in half of the cases, and then the better one is taken: three quarters.
const test_table<share_row>
    shares("relay_choice/share",
           {{"fewer requests in flight", {false, true, 100, 1}, {true, true, 100, 5}, 0.7},
            {"more bandwidth", {false, true, 200, 0}, {true, true, 10, 0}, 0.7},
            {"the same zone on a tie", {true, true, 100, 2}, {false, true, 100, 2}, 0.7}},
           check_share);

} // namespace
} // namespace cassiaspan::test
