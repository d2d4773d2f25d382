#include "retry_budget.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Part of the bound that is used: arrivals fall into another window than their sending.
constexpr double granted_fraction = 0.8;

void drop_before(std::deque<instant>& times, instant oldest) {
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

void record_request(retry_budget& budget, const retry_budget_limits& limits, instant now) {
    drop_before(budget.requests, now - limits.window);
    budget.requests.push_back(now);
}

bool try_take_retry(retry_budget& budget, const retry_budget_limits& limits, std::size_t vm_count,
                    instant now) {
    drop_before(budget.requests, now - limits.window);
    drop_before(budget.retries, now - limits.window);
    const double slack_per_vm = limits.slack / static_cast<double>(std::max<std::size_t>(vm_count, 1));
    const double bound =
        granted_fraction * (limits.ratio * static_cast<double>(budget.requests.size()) + slack_per_vm);
    if (static_cast<double>(budget.retries.size()) + 1 > bound) {
        return false;
    }
    budget.retries.push_back(now);
    return true;
}

} // namespace cassiaspan
