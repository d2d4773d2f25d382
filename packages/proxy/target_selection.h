// Chooses the target of a request from the current state of this VM: filters the service's targets by health,
// region and cold-start pacing, and passes the remaining ones to the placement policy (placement.h).
#pragma once

#include "node_core.h"
#include "placement.h"
#include "request_plan.h"

#include <optional>
#include <vector>

namespace cassiaspan {

// The chosen target, or why there is none.
struct target_selection {
    // Null if no target was chosen.
    target_ptr target;
    // Expected time from the selection until the request finishes at `target`. Without a target, that of the
    // best candidate, which takes too long; 0 if there was no candidate. The Retry-After is computed from it.
    milliseconds expected_finish{};
    // No target may be used at all: none is known, or all are backing off, paused, draining, already tried or
    // in regions that are not allowed.
    bool no_eligible_target = false;
    // Why `target` was chosen.
    placement_reason reason = placement_reason::primary;
};

// How long after a request a target is assumed to still hold the data of the request's affinity key in its
// cache.
constexpr milliseconds warm_retention{20'000};

// Returns whether the target may receive new requests, independent of route and workspace: it is not
// draining, leaving, paused, removed, in an evacuated zone, or backing off after failures.
[[nodiscard]] bool accepts_new_requests(const node_core& core, const target_record& target, instant now);

// Chooses a target that is not among `tried`. If no target may receive new requests, those that have only
// announced that they are leaving are used for a while (target_availability.h).
[[nodiscard]] target_selection select_target(node_core& core, const request_plan& plan,
                                             const std::vector<target_ptr>& tried);

// Returns the time until a target may be used, if none may be now and at least one is only paused; otherwise
// nullopt.
[[nodiscard]] std::optional<milliseconds> time_to_end_of_pause(const node_core& core,
                                                               const request_plan& plan);

// Records that the request will be sent to the target, in the region shift limiter, the affinity history and
// the pacing of a cold target. Call this once nothing can refuse the request any more.
void record_selection(node_core& core, const request_plan& plan, target_record& target);

} // namespace cassiaspan
