// Retry budget: limits the number of retries per service in any time window. The limit holds over all VMs;
// each VM uses only its own part, without coordination.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <deque>

namespace cassiaspan {

// The limit over all VMs: `ratio` x requests + `slack` retries in each window.
struct retry_budget_limits {
    double ratio = 0;
    double slack = 0;
    milliseconds window{10'000};
    auto operator<=>(const retry_budget_limits&) const = default;
};

// Times of this VM's requests and retries for one service in the last window.
struct retry_budget {
    std::deque<instant> requests;
    std::deque<instant> retries;
    auto operator<=>(const retry_budget&) const = default;
};

// Records a caller's request for the service.
void record_request(retry_budget& budget, const retry_budget_limits& limits, instant now);

// Takes one retry from this VM's part of the budget. Returns whether there was one. The slack is divided by
// `vm_count`.
[[nodiscard]] bool try_take_retry(retry_budget& budget, const retry_budget_limits& limits,
                                  std::size_t vm_count, instant now);

} // namespace cassiaspan
