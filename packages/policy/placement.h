// Chooses the target of a request by affinity: rendezvous hashing with bounded loads.
//
// Every key has its own order of all targets (highest random weight; Thaler and Ravishankar, 1996). The first
// target of that order with a free slot takes the request (the bound of Mirrokni, Thorup and Zadimoghaddam,
// 2016), near regions first. A key that spills therefore always spills to the same target, which stays warm
// for it.
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
    // Time that one request takes there without waiting.
    milliseconds service_time{};
    // Time that the way there and back takes.
    milliseconds round_trip{};
    // The target is in the region of the choosing VM.
    bool near = false;
    // The target has been slow or failing and is only used when no other has room.
    bool doubtful = false;
    auto operator<=>(const placement_candidate&) const = default;
};

// What is asked of the placement.
struct placement_request {
    // Hash of the affinity key; nothing where the route has no affinity.
    std::optional<std::uint64_t> key;
    // Longest expected finish, counted from now, for which waiting at a target is of use.
    milliseconds patience{};
    auto operator<=>(const placement_request&) const = default;
};

// Where a request goes, or how long it would take until a target has room.
struct placement {
    std::optional<std::size_t> index;
    milliseconds expected_finish{};
    auto operator<=>(const placement&) const = default;
};

// Returns the time until a request sent now would be finished: the waiting time behind the requests that are
// over the slots, the service time and the way.
[[nodiscard]] milliseconds expected_finish(const placement_candidate& candidate);

// Chooses among the candidates. Nothing is chosen when no target finishes within the patience.
[[nodiscard]] placement place_request(const std::vector<placement_candidate>& candidates,
                                      const placement_request& request);

} // namespace cassiaspan
