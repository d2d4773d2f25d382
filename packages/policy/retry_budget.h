// The budget of repeats: how many times, in any window, requests for a service may be sent to a further
// target. The bound holds over all VMs; each VM keeps to its part without asking the others.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <deque>

namespace cassiaspan {

// The bound over all VMs: `ratio` x requests + `slack` repeats in each window.
struct retry_budget_limits {
    double ratio = 0;
    double slack = 0;
    seconds window{10};
    auto operator<=>(const retry_budget_limits&) const = default;
};

// What this VM did for one service in the last window.
struct retry_budget {
    std::deque<instant> requests;
    std::deque<instant> retries;
    auto operator<=>(const retry_budget&) const = default;
};

// Notes a caller's request for the service.
void record_request(retry_budget& budget, const retry_budget_limits& limits, instant now);

// Returns whether one more repeat fits into this VM's part, and counts it when it does. `vm_count` VMs share
// the slack.
[[nodiscard]] bool try_take_retry(retry_budget& budget, const retry_budget_limits& limits,
                                  std::size_t vm_count, instant now);

} // namespace cassiaspan
