// Chooses the peer from which a VM pulls changes of the store. In a large fleet many VMs are behind at the
// same time. The choice spreads them over all peers that are sufficiently ahead, so that they do not all pull
// from the one that is furthest ahead.
#pragma once

#include "store_position.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// A peer that the VM could pull from.
struct change_source {
    // Position of the store up to which the peer's replica is complete.
    store_position position;
    // The peer is in the region of the pulling VM.
    bool same_region = false;
    auto operator<=>(const change_source&) const = default;
};

// Returns the index of a source that has at least half of the revisions that the pulling VM lacks; a VM that
// is in an earlier epoch lacks all of them. Sources in the same region are preferred; among equals, `random`
// selects one uniformly. Returns nullopt if no source is ahead of `own_position`.
[[nodiscard]] std::optional<std::size_t> choose_change_source(const std::vector<change_source>& sources,
                                                              store_position own_position,
                                                              std::uint64_t random);

} // namespace cassiaspan
