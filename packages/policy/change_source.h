// Chooses the VM that this one asks for changes of the store. In a large fleet many VMs are behind at the
// same moment: they spread over the VMs that are ahead, instead of all asking the one that is first.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// A VM that could be asked.
struct change_source {
    // Revision up to which its copy of the store is complete.
    std::uint64_t revision = 0;
    // It is in the region of the asking VM.
    bool same_region = false;
    auto operator<=>(const change_source&) const = default;
};

// Returns the index of a source that has at least half of what the asking VM lacks, near ones first, drawn by
// `random`; nothing when no source is ahead of `own_revision`.
[[nodiscard]] std::optional<std::size_t> choose_change_source(const std::vector<change_source>& sources,
                                                              std::uint64_t own_revision,
                                                              std::uint64_t random);

} // namespace cassiaspan
