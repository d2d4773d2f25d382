#include "budget.h"

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>

namespace cassiaspan {

namespace {

// Wide enough for a rate times a time in nanoseconds.
using wide = boost::multiprecision::int128_t;

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
constexpr nanoseconds demand_window = milliseconds{250};
// A refill over a longer time than this is full for every contract that the checks let pass.
constexpr nanoseconds max_refill_time = seconds{3600};

// A borrower holds only its lender's newest answer or, if that was lost, the one before: the lender therefore
// lowers its share by the largest of one party's loans, not by their sum.
share sum_by_party(const std::vector<loan>& loans) {
    share sum;
    for (std::size_t i = 0; i < loans.size(); ++i) {
        bool counted = false;
        for (std::size_t j = 0; j < i; ++j) {
            counted = counted || loans[j].party == loans[i].party;
        }
        if (counted) {
            continue;
        }
        share largest;
        for (const loan& other : loans) {
            if (other.party == loans[i].party) {
                largest.rate = std::max(largest.rate, other.amount.rate);
                largest.cap = std::max(largest.cap, other.amount.cap);
            }
        }
        sum.rate += largest.rate;
        sum.cap += largest.cap;
    }
    return sum;
}

void clip(budget& state) {
    state.tokens = std::clamp<std::int64_t>(state.tokens, 0, effective_share(state).cap);
}

void refill(budget& state, instant until) {
    const nanoseconds elapsed = std::min(until - state.updated, max_refill_time);
    state.updated = until;
    const wide earned = wide(effective_share(state).rate) * elapsed.count() + state.refill_remainder;
    state.tokens += static_cast<std::int64_t>(earned / nanoseconds_per_second);
    state.refill_remainder = static_cast<std::int64_t>(earned % nanoseconds_per_second);
    clip(state);
}

std::optional<instant> next_expiry(const budget& state, instant before) {
    std::optional<instant> first;
    for (const auto* loans : {&state.lent, &state.borrowed}) {
        for (const loan& entry : *loans) {
            if (entry.until <= before && (!first || entry.until < *first)) {
                first = entry.until;
            }
        }
    }
    return first;
}

void drop_expired(budget& state, instant now) {
    const auto expired = [now](const loan& entry) { return entry.until <= now; };
    std::erase_if(state.lent, expired);
    std::erase_if(state.borrowed, expired);
    clip(state);
}

void update_demand(budget& state, instant now) {
    const nanoseconds elapsed = now - state.demand_since;
    if (elapsed < demand_window) {
        return;
    }
    const auto measured = static_cast<std::int64_t>(wide(state.arrivals) * micro_requests *
                                                    nanoseconds_per_second / elapsed.count());
    state.demand = elapsed > 4 * demand_window ? measured : (state.demand + measured) / 2;
    state.arrivals = 0;
    state.demand_since = now;
}

std::size_t count_borrowers(const budget& state, std::uint64_t asking) {
    std::vector<std::uint64_t> parties{asking};
    for (const loan& entry : state.lent) {
        if (std::find(parties.begin(), parties.end(), entry.party) == parties.end()) {
            parties.push_back(entry.party);
        }
    }
    return parties.size();
}

share lent_to(const budget& state, std::uint64_t borrower) {
    share held;
    for (const loan& entry : state.lent) {
        if (entry.party == borrower) {
            held.rate = std::max(held.rate, entry.amount.rate);
            held.cap = std::max(held.cap, entry.amount.cap);
        }
    }
    return held;
}

// The lender keeps what its own callers use, with a quarter to spare, and divides the rest evenly.
share spare_share(const budget& state, std::uint64_t borrower) {
    const share lent = sum_by_party(state.lent);
    const share held = lent_to(state, borrower);
    const share others{lent.rate - held.rate, lent.cap - held.cap};
    const std::int64_t own_rate = std::min(state.base.rate, state.demand + state.demand / 4);
    const std::int64_t own_cap =
        state.base.rate == 0
            ? 0
            : static_cast<std::int64_t>(wide(state.base.cap) * own_rate / state.base.rate);
    const auto borrowers = static_cast<std::int64_t>(count_borrowers(state, borrower));
    const share lendable{state.base.rate - own_rate, state.base.cap - own_cap};
    return {std::clamp<std::int64_t>(lendable.rate / borrowers, 0, std::max<std::int64_t>(0, state.base.rate - others.rate)),
            std::clamp<std::int64_t>(lendable.cap / borrowers, 0, std::max<std::int64_t>(0, state.base.cap - others.cap))};
}

} // namespace

budget make_budget(instant now) {
    budget state;
    state.updated = now;
    state.demand_since = now;
    return state;
}

void set_base(budget& state, share base, instant now) {
    advance(state, now);
    state.base = base;
    clip(state);
}

void advance(budget& state, instant now) {
    if (now <= state.updated) {
        return;
    }
    while (const auto expiry = next_expiry(state, now)) {
        refill(state, std::max(*expiry, state.updated));
        drop_expired(state, *expiry);
    }
    refill(state, now);
    update_demand(state, now);
}

void note_arrival(budget& state, instant now) {
    advance(state, now);
    ++state.arrivals;
}

bool try_take(budget& state, instant now) {
    advance(state, now);
    if (state.tokens < micro_requests) {
        return false;
    }
    state.tokens -= micro_requests;
    return true;
}

void give_back(budget& state, instant now) {
    advance(state, now);
    state.tokens += micro_requests;
    clip(state);
}

share effective_share(const budget& state) {
    share sum = state.base;
    const share lent = sum_by_party(state.lent);
    sum.rate -= lent.rate;
    sum.cap -= lent.cap;
    for (const loan& entry : state.borrowed) {
        sum.rate += entry.amount.rate;
        sum.cap += entry.amount.cap;
    }
    return {std::max<std::int64_t>(0, sum.rate), std::max<std::int64_t>(0, sum.cap)};
}

std::optional<grant> lend(budget& state, std::uint64_t borrower, share wanted, milliseconds duration, instant now) {
    advance(state, now);
    const share held = lent_to(state, borrower);
    const share spare = spare_share(state, borrower);
    const share amount{std::min(wanted.rate, spare.rate), std::min(wanted.cap, spare.cap)};
    if (amount.rate <= 0 && amount.cap <= 0) {
        return std::nullopt;
    }
    const std::int64_t added_cap = std::max<std::int64_t>(0, amount.cap - held.cap);
    // Tokens on their way must stand under a cap that neither side uses meanwhile: only the added one.
    const std::int64_t tokens = std::clamp<std::int64_t>(state.tokens, 0, added_cap);
    state.tokens -= tokens;
    const nanoseconds kept = duration + nanoseconds{duration} / clock_drift_divisor;
    std::erase_if(state.lent, [&](const loan& entry) {
        return entry.party == borrower && entry.amount.rate <= amount.rate && entry.amount.cap <= amount.cap;
    });
    state.lent.push_back({borrower, amount, now + kept});
    clip(state);
    return grant{amount, tokens};
}

void accept_loan(budget& state, std::uint64_t lender, const grant& granted, instant until, instant now) {
    advance(state, now);
    if (until <= now) {
        return;
    }
    std::erase_if(state.borrowed, [lender](const loan& entry) { return entry.party == lender; });
    state.borrowed.push_back({lender, granted.amount, until});
    state.tokens += granted.tokens;
    clip(state);
}

share wanted_share(const budget& state, share contract) {
    const share present = effective_share(state);
    std::int64_t borrowed_rate = 0;
    std::int64_t borrowed_cap = 0;
    for (const loan& entry : state.borrowed) {
        borrowed_rate += entry.amount.rate;
        borrowed_cap += entry.amount.cap;
    }
    const std::int64_t own_rate = present.rate - borrowed_rate;
    const std::int64_t own_cap = present.cap - borrowed_cap;
    const bool short_of_rate = state.demand + state.demand / 4 > own_rate;
    const bool short_of_tokens = state.tokens < std::max(2 * micro_requests, own_cap / 2) && state.demand + state.arrivals > 0;
    if (!short_of_rate && !short_of_tokens) {
        return {};
    }
    const std::int64_t headroom = std::max<std::int64_t>(micro_requests, contract.rate / 10);
    return {std::clamp<std::int64_t>(state.demand + state.demand / 2 + headroom - own_rate, 0, contract.rate),
            std::max<std::int64_t>(0, contract.cap - own_cap)};
}

} // namespace cassiaspan
