// Which site serves a block of client addresses: longest prefix first, for a table that never changes once
// made.
//
// Nested prefixes are flattened into disjoint ranges, so that a look-up is one search; a delta makes another
// table while readers go on with the present one.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// An IPv4 prefix and the number of the site that serves it.
struct client_prefix {
    std::uint32_t address = 0;
    // 0 to 32.
    std::uint8_t prefix_length = 0;
    std::uint16_t site = 0;
    auto operator<=>(const client_prefix&) const = default;
};

// An immutable table of blocks.
class prefix_table {
public:
    // Makes a table; of two equal prefixes the later one counts.
    static prefix_table make(std::vector<client_prefix> prefixes);

    // Returns the site of the longest prefix that contains the address.
    [[nodiscard]] std::optional<std::uint16_t> find(std::uint32_t address) const;
    // Returns a table with blocks added or moved to other sites.
    [[nodiscard]] prefix_table with_changes(const std::vector<client_prefix>& changes) const;
    // Bytes held.
    [[nodiscard]] std::size_t bytes() const;

private:
    static constexpr std::uint16_t no_site = 0xffff;
    static constexpr std::size_t index_entries = (1U << 16U) + 1;

    void flatten();

    // Sorted by address, then by length; the source of the ranges.
    std::vector<client_prefix> prefixes;
    // Range i begins at starts[i] and ends before starts[i + 1].
    std::vector<std::uint32_t> starts;
    std::vector<std::uint16_t> sites;
    // First range for each value of the upper 16 bits.
    std::vector<std::uint32_t> index;
};

} // namespace cassiaspan
