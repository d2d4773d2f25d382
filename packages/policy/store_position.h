// A position in the history of the store.
#pragma once

#include <compare>
#include <cstdint>

namespace cassiaspan {

// Revisions only order writes within one epoch of the store: after it is restored from an older copy, it
// assigns the revisions after that copy once more, in the next epoch. A later epoch supersedes all positions
// of earlier ones.
struct store_position {
    // Raised by one with every restore; 0 for a store that does not count them.
    std::uint64_t epoch = 0;
    // Revision of the write, or of the last write that a read covers.
    std::uint64_t revision = 0;
    auto operator<=>(const store_position&) const = default;
};

} // namespace cassiaspan
