// Remembers which target recently served which object, in a hash table of fixed size without chaining: a new
// entry overwrites the old one at the same index. Lookups may therefore miss uses.
#pragma once

#include "clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cassiaspan {

// Number of entries of the table.
constexpr std::size_t recent_use_capacity = 4096;

// One entry: a hash of target and object, and the time of the last use.
struct recent_use {
    std::uint64_t pair_hash = 0;
    instant used_at;
    auto operator<=>(const recent_use&) const = default;
};

// The table; entry_index() maps a hash to its index.
struct recent_uses {
    std::array<recent_use, recent_use_capacity> entries{};
};

// Records that the target served the object at `now`. Both are given as hashes.
void record_use(recent_uses& uses, std::uint64_t target, std::uint64_t object, instant now);

// Returns whether the table has a use of the object by the target that is at most `max_age` old.
[[nodiscard]] bool was_used(const recent_uses& uses, std::uint64_t target, std::uint64_t object,
                            milliseconds max_age, instant now);

} // namespace cassiaspan
