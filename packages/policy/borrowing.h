// When, and for how much, a VM asks one lender.
#pragma once

#include "budget.h"

namespace cassiaspan {

// What a VM remembers of one lender, for one workspace.
struct lender_state {
    bool asking = false;
    instant asked;
    share wanted;
};

// Returns the part of a wish to ask each of `lenders` for: more than an even part, since some have nothing to
// spare.
[[nodiscard]] share part_for_each(share wanted, std::size_t lenders);

// Returns whether the lender is to be asked now: a loan is renewed at half its time, and asked for anew when
// clearly more is wanted.
[[nodiscard]] bool is_ask_due(const lender_state& lender, share wanted, milliseconds loan, instant now);

} // namespace cassiaspan
