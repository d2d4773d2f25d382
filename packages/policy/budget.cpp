#include "budget.h"

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>
#include <cmath>

namespace cassiaspan {

namespace {

// Holds the product of a rate and a time in nanoseconds without overflow.
using int128 = boost::multiprecision::int128_t;

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
// Shortest window over which arrivals are counted.
constexpr nanoseconds demand_window = milliseconds{250};
// Exponential smoothing of the demand: a new window has the weight 1/8.
constexpr std::int64_t smoothing_windows = 8;
// A lender keeps 1/20 more than its own demand, and a borrower requests 1/8 more than its demand. With wider
// margins a fleet at 90 % of the quota could not satisfy all borrowers.
constexpr std::int64_t lender_margin_divisor = 20;
constexpr std::int64_t borrower_margin_divisor = 8;
// Least capacity that a VM without tokens requests to borrow, in requests.
constexpr std::int64_t min_borrowed_requests = 4;
// Longest time that one refill accounts for. It fills the bucket of every quota that the configuration check
// accepts.
constexpr nanoseconds max_refill_time = seconds{3600};

// Returns the share that is lent in total. Each peer counts with the largest of its loans, not with their
// sum, because a borrower holds only the lender's latest answer or, if that was lost, the one before.
budget_share total_lent(const std::vector<loan>& loans) {
    budget_share sum;
    for (std::size_t i = 0; i < loans.size(); ++i) {
        bool counted = false;
        for (std::size_t j = 0; j < i; ++j) {
            counted = counted || loans[j].peer == loans[i].peer;
        }
        if (counted) {
            continue;
        }
        budget_share largest;
        for (const loan& other : loans) {
            if (other.peer == loans[i].peer) {
                largest.rate = std::max(largest.rate, other.amount.rate);
                largest.cap = std::max(largest.cap, other.amount.cap);
            }
        }
        sum.rate += largest.rate;
        sum.cap += largest.cap;
    }
    return sum;
}

void clamp_tokens(budget& state) {
    state.tokens = std::clamp<std::int64_t>(state.tokens, 0, effective_share(state).cap);
}

void refill(budget& state, instant until) {
    const nanoseconds elapsed = std::min(until - state.updated_at, max_refill_time);
    state.updated_at = until;
    const int128 accrued = int128(effective_share(state).rate) * elapsed.count() + state.refill_remainder;
    state.tokens += static_cast<std::int64_t>(accrued / nanoseconds_per_second);
    state.refill_remainder = static_cast<std::int64_t>(accrued % nanoseconds_per_second);
    clamp_tokens(state);
}

std::optional<instant> earliest_expiry(const budget& state, instant latest_time) {
    std::optional<instant> first;
    for (const auto* loans : {&state.lent, &state.borrowed}) {
        for (const loan& entry : *loans) {
            if (entry.expires_at <= latest_time && (!first || entry.expires_at < *first)) {
                first = entry.expires_at;
            }
        }
    }
    return first;
}

void remove_expired_loans(budget& state, instant now) {
    const auto expired = [now](const loan& entry) { return entry.expires_at <= now; };
    std::erase_if(state.lent, expired);
    std::erase_if(state.borrowed, expired);
    clamp_tokens(state);
}

// Updates the demand at the end of a window by exponential smoothing. Takes the measured rate directly if the
// arrivals exceed the expected number by more than three standard deviations of a Poisson count, or if the
// window lasted longer than four demand windows.
void update_demand(budget& state, instant now) {
    const nanoseconds elapsed = now - state.demand_window_start;
    if (elapsed < demand_window) {
        return;
    }
    const auto measured = static_cast<std::int64_t>(int128(state.arrivals) * microrequests_per_request *
                                                    nanoseconds_per_second / elapsed.count());
    const double expected = static_cast<double>(state.demand) / microrequests_per_request *
                            std::chrono::duration<double>(elapsed).count();
    const bool is_spike = static_cast<double>(state.arrivals) > expected + 3 * std::sqrt(expected + 1);
    const bool is_stale = elapsed > 4 * demand_window;
    state.demand = is_spike || is_stale
                       ? measured
                       : ((smoothing_windows - 1) * state.demand + measured) / smoothing_windows;
    state.arrivals = 0;
    state.demand_window_start = now;
}

budget_share lent_to(const budget& state, std::uint64_t borrower) {
    budget_share held;
    for (const loan& entry : state.lent) {
        if (entry.peer == borrower) {
            held.rate = std::max(held.rate, entry.amount.rate);
            held.cap = std::max(held.cap, entry.amount.cap);
        }
    }
    return held;
}

// Returns the part of the base share that can be lent: all but the demand of this VM's own callers and a
// margin.
budget_share lendable_share(const budget& state) {
    const std::int64_t own_rate =
        std::min(state.base.rate, state.demand + state.demand / lender_margin_divisor);
    const std::int64_t own_cap =
        state.base.rate == 0 ? 0
                             : static_cast<std::int64_t>(int128(state.base.cap) * own_rate / state.base.rate);
    // Capacity can also be lent as far as the tokens exceed half of the effective capacity.
    const std::int64_t reserve = std::min(state.base.cap, state.tokens - effective_share(state).cap / 2);
    return {state.base.rate - own_rate, std::max(state.base.cap - own_cap, reserve)};
}

// Returns the latest requested amount of each peer except `borrower`, for one field (rate or cap) of the
// share.
std::vector<std::int64_t> other_requested_amounts(const budget& state, std::uint64_t borrower,
                                                  std::int64_t budget_share::*field) {
    std::vector<std::pair<std::uint64_t, std::int64_t>> latest;
    for (const loan& entry : state.lent) {
        const auto found = std::find_if(latest.begin(), latest.end(),
                                        [&](const auto& amount) { return amount.first == entry.peer; });
        if (entry.peer != borrower && found == latest.end()) {
            latest.emplace_back(entry.peer, entry.requested.*field);
        } else if (entry.peer != borrower) {
            found->second = entry.requested.*field;
        }
    }
    std::vector<std::int64_t> amounts;
    amounts.reserve(latest.size() + 1);
    for (const auto& [peer, amount] : latest) {
        amounts.push_back(amount);
    }
    return amounts;
}

// Returns the part of `available` for the request `own` by max-min fairness: small requests are granted in
// full, and the rest is divided evenly among the larger ones.
std::int64_t max_min_fair_part(std::int64_t available, std::int64_t own, std::vector<std::int64_t> others) {
    others.push_back(own);
    std::sort(others.begin(), others.end());
    std::int64_t left = std::max<std::int64_t>(0, available);
    auto remaining = static_cast<std::int64_t>(others.size());
    for (const std::int64_t amount : others) {
        const std::int64_t part = std::min(amount, left / remaining);
        if (amount >= own) {
            return std::min(own, part);
        }
        left -= part;
        --remaining;
    }
    return 0;
}

// Keeps the size of a loan if the request is less than the loan but at least half of it. If a loan shrank,
// neither VM could use the difference until the larger loan expires.
std::int64_t apply_hysteresis(std::int64_t requested, std::int64_t held) {
    return requested < held && requested >= held - held / 2 ? held : requested;
}

// Returns the borrower's max-min fair part of the lendable share, limited to what is not lent to others
// already.
budget_share offered_share(const budget& state, std::uint64_t borrower, budget_share requested) {
    const budget_share lent = total_lent(state.lent);
    const budget_share held = lent_to(state, borrower);
    const budget_share lendable = lendable_share(state);
    const budget_share unlent{lendable.rate - (lent.rate - held.rate), lendable.cap - (lent.cap - held.cap)};
    const budget_share fair_part{
        max_min_fair_part(lendable.rate, requested.rate,
                          other_requested_amounts(state, borrower, &budget_share::rate)),
        max_min_fair_part(lendable.cap, requested.cap,
                          other_requested_amounts(state, borrower, &budget_share::cap))};
    return {std::clamp<std::int64_t>(unlent.rate, 0, fair_part.rate),
            std::clamp<std::int64_t>(unlent.cap, 0, fair_part.cap)};
}

// Returns the demand in millionths of a request per second: the smoothed rate, or the lower bound from the
// current window if that is higher.
std::int64_t estimate_demand(const budget& state) {
    constexpr double shortest_window_s = 0.1;
    const double elapsed_s =
        std::chrono::duration<double>(state.updated_at - state.demand_window_start).count();
    const auto arrivals = static_cast<double>(state.arrivals);
    // Lower bound: two standard deviations of a Poisson count below the counted arrivals.
    const double lower_bound = std::max(0.0, arrivals - 2 * std::sqrt(arrivals));
    const double rate = lower_bound / std::max(elapsed_s, shortest_window_s);
    return std::max(state.demand, static_cast<std::int64_t>(rate * microrequests_per_request));
}

} // namespace

budget make_budget(instant now) {
    budget state;
    state.updated_at = now;
    state.demand_window_start = now;
    return state;
}

void set_base_share(budget& state, budget_share base, instant now) {
    advance(state, now);
    state.base = base;
    clamp_tokens(state);
}

void advance(budget& state, instant now) {
    if (now <= state.updated_at) {
        return;
    }
    while (const auto expiry = earliest_expiry(state, now)) {
        refill(state, std::max(*expiry, state.updated_at));
        remove_expired_loans(state, *expiry);
    }
    refill(state, now);
    update_demand(state, now);
}

void record_arrival(budget& state, instant now) {
    advance(state, now);
    ++state.arrivals;
}

bool try_acquire(budget& state, instant now) {
    advance(state, now);
    if (state.tokens < microrequests_per_request) {
        return false;
    }
    state.tokens -= microrequests_per_request;
    return true;
}

void refund(budget& state, instant now) {
    advance(state, now);
    state.tokens += microrequests_per_request;
    clamp_tokens(state);
}

budget_share effective_share(const budget& state) {
    budget_share sum = state.base;
    const budget_share lent = total_lent(state.lent);
    sum.rate -= lent.rate;
    sum.cap -= lent.cap;
    for (const loan& entry : state.borrowed) {
        sum.rate += entry.amount.rate;
        sum.cap += entry.amount.cap;
    }
    return {std::max<std::int64_t>(0, sum.rate), std::max<std::int64_t>(0, sum.cap)};
}

std::optional<grant> lend(budget& state, std::uint64_t borrower, budget_share requested,
                          milliseconds duration, instant now) {
    advance(state, now);
    const budget_share held = lent_to(state, borrower);
    requested = {apply_hysteresis(requested.rate, held.rate), apply_hysteresis(requested.cap, held.cap)};
    const budget_share amount = offered_share(state, borrower, requested);
    const nanoseconds lent_for = duration + nanoseconds{duration} / clock_drift_divisor;
    if (amount.rate <= 0 && amount.cap <= 0) {
        // Records the request, so that the next renewals of other loans leave a part for this borrower.
        std::erase_if(state.lent, [borrower](const loan& entry) {
            return entry.peer == borrower && entry.amount == budget_share{};
        });
        state.lent.push_back({borrower, {}, requested, now + lent_for});
        return std::nullopt;
    }
    const std::int64_t added_cap = std::max<std::int64_t>(0, amount.cap - held.cap);
    // Tokens in transit must be covered by capacity that neither VM uses meanwhile, which is only the added
    // capacity.
    const std::int64_t tokens = std::clamp<std::int64_t>(state.tokens, 0, added_cap);
    state.tokens -= tokens;
    std::erase_if(state.lent, [&](const loan& entry) {
        return entry.peer == borrower && entry.amount.rate <= amount.rate && entry.amount.cap <= amount.cap;
    });
    state.lent.push_back({borrower, amount, requested, now + lent_for});
    clamp_tokens(state);
    return grant{amount, tokens};
}

void accept_loan(budget& state, std::uint64_t lender, const grant& granted, instant expires_at, instant now) {
    advance(state, now);
    if (expires_at <= now) {
        return;
    }
    std::erase_if(state.borrowed, [lender](const loan& entry) { return entry.peer == lender; });
    state.borrowed.push_back({lender, granted.amount, granted.amount, expires_at});
    state.tokens += granted.tokens;
    clamp_tokens(state);
}

budget_share share_to_borrow(const budget& state, budget_share quota) {
    const budget_share current = effective_share(state);
    std::int64_t borrowed_rate = 0;
    std::int64_t borrowed_cap = 0;
    for (const loan& entry : state.borrowed) {
        borrowed_rate += entry.amount.rate;
        borrowed_cap += entry.amount.cap;
    }
    const std::int64_t own_rate = current.rate - borrowed_rate;
    const std::int64_t own_cap = current.cap - borrowed_cap;
    const std::int64_t demand = std::min(estimate_demand(state), quota.rate);
    const bool short_of_rate = demand > own_rate;
    const bool short_of_tokens = state.tokens < microrequests_per_request && demand > 0;
    if (!short_of_rate && !short_of_tokens) {
        return {};
    }
    const std::int64_t rate = std::min(quota.rate, demand + demand / borrower_margin_divisor);
    const auto cap =
        static_cast<std::int64_t>(int128(quota.cap) * rate / std::max<std::int64_t>(1, quota.rate));
    // A VM without tokens needs some immediately, whatever its rate.
    const std::int64_t initial_tokens =
        short_of_tokens ? std::max(min_borrowed_requests * microrequests_per_request, quota.cap / 8) : 0;
    return {std::max<std::int64_t>(0, rate - own_rate),
            std::clamp<std::int64_t>(cap + initial_tokens - own_cap, 0, quota.cap)};
}

} // namespace cassiaspan
