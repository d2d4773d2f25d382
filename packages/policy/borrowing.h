// Decides when a VM requests a loan from one lender, and how much it requests.
#pragma once

#include "budget.h"

namespace cassiaspan {

// The latest loan request from a VM to one lender, for one workspace.
struct lender_state {
    // The request has neither been answered nor failed yet.
    bool request_pending = false;
    instant requested_at;
    budget_share requested;
};

// Returns the share to request from each of `lenders` lenders: 3/2 of an even part, because some have nothing
// to lend, but at most `requested`.
[[nodiscard]] budget_share share_per_lender(budget_share requested, std::size_t lenders);

// Returns whether to send the lender a request for `requested` now. A loan is renewed after half of its
// duration, or earlier if more than 3/2 of the former request is needed. Returns false while a request is
// pending, and for the first 40 ms after a request.
[[nodiscard]] bool is_loan_request_due(const lender_state& lender, budget_share requested,
                                       milliseconds loan_duration, instant now);

} // namespace cassiaspan
