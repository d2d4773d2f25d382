// Chooses the target of a request from what the VM knows at the moment: filters the targets that may be used
// and asks the placement policy.
#pragma once

#include "node_core.h"
#include "placement.h"
#include "request_plan.h"

#include <vector>

namespace cassiaspan {

// A target, or how long it will take until one may have room.
struct target_selection {
    target_ptr target;
    milliseconds expected_finish{};
    // No target may be used at all: none is known, or the regions are not allowed.
    bool no_eligible_target = false;
    placement_reason reason = placement_reason::primary;
};

// Targets keep what they have handled lately: this long after a request it is taken to be still there.
constexpr milliseconds warm_retention{20'000};

// Returns whether a new request may be sent to the target at all, whatever its route and workspace.
[[nodiscard]] bool accepts_new_requests(const node_core& core, const target_record& target, instant now);

// Chooses a target that is not among `tried`.
[[nodiscard]] target_selection select_target(node_core& core, const request_plan& plan,
                                             const std::vector<target_ptr>& tried);

} // namespace cassiaspan
