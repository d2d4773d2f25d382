// Remembers which target handled which object lately, in a table of fixed size: an entry gives way to a newer
// one with the same place.
#pragma once

#include "clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cassiaspan {

constexpr std::size_t recent_use_capacity = 4096;

struct recent_use {
    std::uint64_t pair_hash = 0;
    instant used_at;
    auto operator<=>(const recent_use&) const = default;
};

struct recent_uses {
    std::array<recent_use, recent_use_capacity> entries{};
};

// Notes that the target handled the object.
void record_use(recent_uses& uses, std::uint64_t target, std::uint64_t object, instant now);

// Returns whether the target handled the object within the time.
[[nodiscard]] bool was_used(const recent_uses& uses, std::uint64_t target, std::uint64_t object,
                            milliseconds max_age, instant now);

} // namespace cassiaspan
