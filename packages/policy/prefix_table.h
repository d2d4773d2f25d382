// Immutable longest-prefix-match table that maps client IPv4 addresses to the sites that serve them.
//
// Nested prefixes are flattened into disjoint ranges, so that a lookup is one binary search. A change builds
// a new table while readers continue to use the old one.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// An IPv4 prefix (CIDR block) and the number of the site that serves it.
struct client_prefix {
    // First address, in host byte order.
    std::uint32_t address = 0;
    // Length in bits, 0 to 32.
    std::uint8_t prefix_length = 0;
    std::uint16_t site = 0;
    auto operator<=>(const client_prefix&) const = default;
};

// Longest-prefix-match table; see the head of this file.
class prefix_table {
public:
    // Builds a table. Of two equal prefixes the later one in the list is used.
    static prefix_table make(std::vector<client_prefix> prefixes);

    // Returns the site of the longest prefix that contains the address (host byte order), or nullopt if none
    // does.
    [[nodiscard]] std::optional<std::uint16_t> find(std::uint32_t address) const;
    // Returns a copy of the table with prefixes added or moved to other sites.
    [[nodiscard]] prefix_table with_changes(const std::vector<client_prefix>& changes) const;
    // Returns the heap memory of the table in bytes.
    [[nodiscard]] std::size_t bytes() const;

private:
    // Marks a range that no prefix covers.
    static constexpr std::uint16_t no_site = 0xffff;
    // One entry for each value of the upper 16 bits, and a sentinel.
    static constexpr std::size_t index_entries = (1U << 16U) + 1;

    // Builds starts, sites and index from the prefixes.
    void flatten();

    // Sorted by address, then by length, without duplicates.
    std::vector<client_prefix> prefixes;
    // Range i covers the addresses from starts[i] to below starts[i + 1], and sites[i] serves it.
    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> sites;
    // Index of the range that contains the first address of each value of the upper 16 bits.
    std::vector<std::uint32_t> index;
};

} // namespace cassiaspan
