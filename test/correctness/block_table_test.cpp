// The table of client blocks against a plain search.

#include "block_table.h"
#include "table_test.h"

#include <random>

namespace cassiaspan::test {
namespace {

std::optional<std::uint16_t> search(const std::vector<client_block>& blocks, std::uint32_t address) {
    std::optional<std::uint16_t> site;
    int longest = -1;
    for (const client_block& block : blocks) {
        const std::uint64_t size = std::uint64_t{1} << (32U - block.prefix_bits);
        const bool contains = address >= block.address && address - std::uint64_t{block.address} < size;
        if (contains && block.prefix_bits >= longest) {
            longest = block.prefix_bits;
            site = block.site;
        }
    }
    return site;
}

client_block draw_block(std::mt19937& random, unsigned min_bits) {
    const auto bits = static_cast<std::uint8_t>(min_bits + random() % (33 - min_bits));
    const std::uint32_t mask = bits == 0 ? 0 : ~std::uint32_t{0} << (32U - bits);
    return {static_cast<std::uint32_t>(random()) & mask, bits, static_cast<std::uint16_t>(random() % 450)};
}

struct table_row {
    std::string name;
    unsigned seed;
    unsigned min_bits;
    std::size_t count;
};

void check_table(const table_row& row) {
    std::mt19937 random(row.seed);
    std::vector<client_block> blocks;
    for (std::size_t i = 0; i < row.count; ++i) {
        blocks.push_back(draw_block(random, row.min_bits));
    }
    const block_table first =
        block_table::make({blocks.begin(), blocks.begin() + static_cast<std::ptrdiff_t>(row.count / 2)});
    const block_table whole =
        first.with({blocks.begin() + static_cast<std::ptrdiff_t>(row.count / 2), blocks.end()});
    for (int i = 0; i < 3000; ++i) {
        const auto& near = blocks.empty() ? client_block{} : blocks[random() % blocks.size()];
        const auto address = i % 2 == 0 ? static_cast<std::uint32_t>(random())
                                        : near.address + static_cast<std::uint32_t>(i % 5) - 2;
        CPPUNIT_ASSERT(search(blocks, address) == whole.find(address));
    }
}

const test_table<table_row> tables(
    "block_table",
    {{"empty", 1, 0, 0}, {"nested", 2, 0, 300}, {"short prefixes", 3, 2, 40}, {"long prefixes", 4, 20, 2000}},
    check_table);

} // namespace
} // namespace cassiaspan::test
