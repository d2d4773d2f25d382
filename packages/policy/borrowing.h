// When, and for how much, a VM asks one lender.
#pragma once

#include "budget.h"

namespace cassiaspan {

// What a VM remembers of one lender, for one workspace.
struct lender_state {
    bool request_pending = false;
    instant requested_at;
    budget_share requested;
};

// Returns the part of a wish to ask each of `lenders` for: more than an even part, since some have nothing to
// spare.
[[nodiscard]] budget_share share_per_lender(budget_share requested, std::size_t lenders);

// Returns whether the lender is to be asked now: a loan is renewed at half its time, and asked for anew when
// clearly more is wanted.
[[nodiscard]] bool is_loan_request_due(const lender_state& lender, budget_share requested,
                                       milliseconds loan_duration, instant now);

} // namespace cassiaspan
