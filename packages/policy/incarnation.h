// Order of the incarnations of a VM. Their numbers are taken from the time of day, which can be set back
// between two starts, so that the numbers alone do not order them.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace cassiaspan {

// The incarnations of a VM that another VM knows.
struct incarnation_history {
    std::uint64_t current = 0;
    // Those that the current one has replaced, earliest first; only the last few.
    std::vector<std::uint64_t> former;
    auto operator<=>(const incarnation_history&) const = default;
};

enum class incarnation_order { current, earlier, later };

// Returns how the incarnation `number` relates to the current one. While the current one is alive, former
// ones and unknown ones with lower numbers are earlier: what they sent arrives late. Once it is silent, any
// other is later, because it can only be heard if it runs.
[[nodiscard]] incarnation_order compare_incarnation(const incarnation_history& known, std::uint64_t number,
                                                    bool current_is_alive);

// Returns the history after the current incarnation was replaced by `number`.
[[nodiscard]] incarnation_history replace_incarnation(const incarnation_history& known, std::uint64_t number);

// Returns the number that a VM numbered `own` continues with after it has found the record of another of its
// incarnations: its own if that is higher, otherwise the next one. The other VMs can then tell from the
// numbers which of the two is the later one.
[[nodiscard]] std::uint64_t supersede_incarnation(std::uint64_t own, std::uint64_t recorded);

} // namespace cassiaspan
