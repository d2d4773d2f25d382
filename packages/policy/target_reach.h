// Whether a VM reaches the targets of a service. A VM that is cut off from targets looks, from its own
// attempts alone, like a VM whose targets are all down; what its peers report tells the two apart.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cassiaspan {

// What a VM's own connections say about a group of targets: those of one service, or all.
struct target_reach {
    // The group counts as out of reach.
    bool is_lost = false;
    // Different targets that could not be reached since the last contact, up to the number that decides. Each
    // is identified by the low 32 bits of its id hash.
    std::vector<std::uint32_t> unreached;
    // When a target of the group last accepted a connection or sent bytes.
    instant last_contact;
    // When a target could last not be reached.
    instant last_failure;
    // When the group was last lost, and when it was reached again.
    instant lost_at;
    instant restored_at;
    auto operator<=>(const target_reach&) const = default;
};

// Records that a target accepted a connection or sent bytes. Returns whether the group was lost until now.
bool record_contact(target_reach& reach, instant now);

// Records that a target could not be reached. `known_targets` is the number of targets of the group. Once
// three different targets, or all if there are fewer, could not be reached without any contact in between,
// the group is lost. Returns whether it has become lost now.
bool record_no_contact(target_reach& reach, std::uint32_t target, std::size_t known_targets, instant now);

// Returns whether a target could not be reached within the last two seconds.
[[nodiscard]] bool failed_recently(const target_reach& reach, instant now);

// Returns the fraction of requests that may go to the targets directly, 0 to 1: 0 while they are out of
// reach, then growing to 1 within a second, so that the VMs of a zone do not return to the targets all at
// once.
[[nodiscard]] double direct_fraction(const target_reach& reach, instant now);

} // namespace cassiaspan
