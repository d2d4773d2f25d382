// Token bucket that enforces one VM's share of a workspace's quota, and loans of shares between VMs.
//
// The shares of all VMs never sum to more than the quota: a lender lowers its share before the borrower
// raises its own, and raises it again only after the loan has expired at the borrower. The tokens of a bucket
// never exceed the capacity of its share. Therefore, over every window of length t and over all VMs:
//
//     admitted <= burst + rate * t
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// Tokens and rates are counted in millionths of a request, so that a small rate can be divided between VMs.
constexpr std::int64_t microrequests_per_request = 1'000'000;

// A lender extends each loan by 1/100 of its duration, because the clocks of the two VMs may run at different
// speeds.
constexpr std::int64_t clock_drift_divisor = 100;

// A workspace's quota or a part of it: the refill rate in millionths of a request per second, and the
// capacity of the bucket (the burst) in millionths of a request.
struct budget_share {
    std::int64_t rate = 0;
    std::int64_t cap = 0;
    auto operator<=>(const budget_share&) const = default;
};

// A share that is lent or borrowed until `expires_at`. `peer` is the incarnation of the other VM.
struct loan {
    std::uint64_t peer = 0;
    budget_share amount;
    // The share that the borrower requested; `amount` may be less.
    budget_share requested;
    instant expires_at;
    auto operator<=>(const loan&) const = default;
};

// Answer of a lender: the total share that the borrower now holds from it, and the tokens (in millionths of a
// request) that move with the added capacity.
struct grant {
    budget_share amount;
    std::int64_t tokens = 0;
    auto operator<=>(const grant&) const = default;
};

// State of one workspace's budget at one VM.
struct budget {
    // Share given by the member list, before loans.
    budget_share base;
    // Available tokens, in millionths of a request.
    std::int64_t tokens = 0;
    // Remainder of the refill below one millionth of a request, in billionths of a millionth.
    std::int64_t refill_remainder = 0;
    // Time up to which refills and expired loans have been applied.
    instant updated_at;
    std::vector<loan> lent;
    std::vector<loan> borrowed;
    // Smoothed arrival rate, in millionths of a request per second.
    std::int64_t demand = 0;
    // Requests that arrived since `demand_window_start`.
    std::int64_t arrivals = 0;
    instant demand_window_start;
};

// Returns a budget with no share and no tokens.
[[nodiscard]] budget make_budget(instant now);

// Sets the share that the member list gives this VM. Added capacity starts without tokens.
void set_base_share(budget& state, budget_share base, instant now);

// Refills tokens, removes expired loans and updates the demand up to `now`. Does nothing if `now` is in the
// past.
void advance(budget& state, instant now);

// Counts an arriving request towards the demand.
void record_arrival(budget& state, instant now);

// Takes the tokens of one request. Returns false, and takes none, if there are too few.
[[nodiscard]] bool try_acquire(budget& state, instant now);

// Returns the tokens of a request that is known not to have been executed, up to the capacity.
void refund(budget& state, instant now);

// Returns the share that this VM may use now: base - lent + borrowed, at least zero.
[[nodiscard]] budget_share effective_share(const budget& state);

// Lends up to `requested` to `borrower` for `duration`. The borrower counts the duration from when it sent
// its request, which is before this call. Returns the total share that the borrower holds from this VM,
// including former loans, or nullopt if there is no spare share. This VM gets the share back after the
// duration plus the clock drift allowance.
[[nodiscard]] std::optional<grant> lend(budget& state, std::uint64_t borrower, budget_share requested,
                                        milliseconds duration, instant now);

// Records a loan from `lender` that ends at `expires_at`, in place of its former loan. Ignores a loan that
// has already expired.
void accept_loan(budget& state, std::uint64_t lender, const grant& granted, instant expires_at, instant now);

// Returns the total share that this VM should borrow from others, given the workspace's quota. Zero if its
// own share is enough.
[[nodiscard]] budget_share share_to_borrow(const budget& state, budget_share quota);

} // namespace cassiaspan
