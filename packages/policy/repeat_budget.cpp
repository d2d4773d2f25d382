#include "repeat_budget.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Part of the bound that is used: arrivals fall into another window than their sending.
constexpr double used_part = 0.8;

void drop_older(std::deque<instant>& times, instant limit) {
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

} // namespace

void note_request(repeat_budget& budget, const repeat_terms& terms, instant now) {
    drop_older(budget.requests, now - terms.window);
    budget.requests.push_back(now);
}

bool take_repeat(repeat_budget& budget, const repeat_terms& terms, std::size_t vm_count, instant now) {
    drop_older(budget.requests, now - terms.window);
    drop_older(budget.repeats, now - terms.window);
    const double shared_slack = terms.slack / static_cast<double>(std::max<std::size_t>(vm_count, 1));
    const double bound =
        used_part * (terms.ratio * static_cast<double>(budget.requests.size()) + shared_slack);
    if (static_cast<double>(budget.repeats.size()) + 1 > bound) {
        return false;
    }
    budget.repeats.push_back(now);
    return true;
}

} // namespace cassiaspan
