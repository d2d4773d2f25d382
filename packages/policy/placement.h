// Chooses the target of a request by expected finish and by what the targets have handled lately.
//
// Every key has its own order of all targets (highest random weight; Thaler and Ravishankar, 1996), the
// region that serves the key first. The first of them is the key's primary target, which is presumed to be
// warm for it unless another target is known to be. A copy elsewhere costs a slow run that pushes other
// objects out, so that under load copies breed more slow runs: a request goes to a target that is not warm
// for it only when waiting at the warm ones takes longer than that run and the target has room to spare. Keys
// thereby keep to few targets, also while a region is short of room.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// What one choice needs to know of one target.
struct placement_candidate {
    // Hash of the target's identity, equal on all VMs.
    std::uint64_t identity = 0;
    // Requests at the target, running or waiting, from all VMs.
    double load = 0;
    // Requests that the target runs at the same time.
    double slots = 1;
    // Time of a request here, relative to the usual of the service.
    double service_time_ratio = 1;
    // Time that the way there and back takes.
    milliseconds round_trip{};
    // 0 in the region that serves the object, then 1 in the region of the choosing VM, 2 elsewhere.
    int region_rank = 0;
    // The target has handled the request's object lately.
    bool recently_used = false;
    // The target has been failing and is only used when no other has room.
    bool degraded = false;
    // The target has joined lately: objects that now belong to it are still warm elsewhere.
    bool recently_joined = false;
    auto operator<=>(const placement_candidate&) const = default;
};

// What is asked of the placement.
struct placement_request {
    // Hash of the affinity key; nothing where the route has no affinity.
    std::optional<std::uint64_t> key;
    // Usual time of a request at a target that is warm for its object, and at one that is not.
    milliseconds warm_service_time{};
    milliseconds cold_service_time{};
    // Sends the request to the key's primary target even when another target is known to be warm, so that a
    // target that has joined gets its part of the objects.
    bool assume_primary_warm = false;
    // The same, when the primary target has joined lately.
    bool assume_joined_primary_warm = false;
    // Longest expected finish, counted from now, for which waiting at a target is of use.
    milliseconds max_latency{};
    auto operator<=>(const placement_request&) const = default;
};

// Why a target was chosen.
enum class placement_reason {
    // It is the first in the key's order, or the cheapest for a request without a key.
    primary,
    // It has handled the object lately.
    known_warm,
    // The warm targets are full.
    spill
};

// Returns the reason as a word for the log.
[[nodiscard]] const char* to_string(placement_reason reason);

// Where a request goes, or how long it would take until a target has room.
struct placement {
    std::optional<std::size_t> index;
    milliseconds expected_latency{};
    placement_reason reason = placement_reason::primary;
    auto operator<=>(const placement&) const = default;
};

// Chooses among the candidates. Nothing is chosen when no target finishes within the patience.
[[nodiscard]] placement place_request(const std::vector<placement_candidate>& candidates,
                                      const placement_request& request);

} // namespace cassiaspan
