// Compares the prefix table with a linear search, for random prefixes and addresses at their edges.

#include "prefix_table.h"
#include "table_test.h"

#include <random>

namespace cassiaspan::test {
namespace {

std::optional<std::uint16_t> find_by_linear_search(const std::vector<client_prefix>& prefixes,
                                                   std::uint32_t address) {
    std::optional<std::uint16_t> site;
    int longest = -1;
    for (const client_prefix& prefix : prefixes) {
        const std::uint64_t size = std::uint64_t{1} << (32U - prefix.prefix_length);
        const bool contains = address >= prefix.address && address - std::uint64_t{prefix.address} < size;
        if (contains && prefix.prefix_length >= longest) {
            longest = prefix.prefix_length;
            site = prefix.site;
        }
    }
    return site;
}

client_prefix draw_prefix(std::mt19937& random, unsigned min_length) {
    const auto length = static_cast<std::uint8_t>(min_length + random() % (33 - min_length));
    const std::uint32_t mask = length == 0 ? 0 : ~std::uint32_t{0} << (32U - length);
    return {static_cast<std::uint32_t>(random()) & mask, length, static_cast<std::uint16_t>(random() % 450)};
}

struct table_row {
    std::string name;
    unsigned seed;
    unsigned min_length;
    std::size_t count;
};

void check_table(const table_row& row) {
    std::mt19937 random(row.seed);
    std::vector<client_prefix> prefixes;
    for (std::size_t i = 0; i < row.count; ++i) {
        prefixes.push_back(draw_prefix(random, row.min_length));
    }
    const prefix_table first =
        prefix_table::make({prefixes.begin(), prefixes.begin() + static_cast<std::ptrdiff_t>(row.count / 2)});
    const prefix_table whole =
        first.with_changes({prefixes.begin() + static_cast<std::ptrdiff_t>(row.count / 2), prefixes.end()});
    for (int i = 0; i < 3000; ++i) {
        const auto& nearby = prefixes.empty() ? client_prefix{} : prefixes[random() % prefixes.size()];
        const auto address = i % 2 == 0 ? static_cast<std::uint32_t>(random())
                                        : nearby.address + static_cast<std::uint32_t>(i % 5) - 2;
        CPPUNIT_ASSERT(find_by_linear_search(prefixes, address) == whole.find(address));
    }
}

const test_table<table_row> tables(
    "block_table",
    {{"empty", 1, 0, 0}, {"nested", 2, 0, 300}, {"short prefixes", 3, 2, 40}, {"long prefixes", 4, 20, 2000}},
    check_table);

} // namespace
} // namespace cassiaspan::test
