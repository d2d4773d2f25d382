// The part of a workspace's rate and burst that one VM may spend, and loans of it between VMs.
//
// The shares of all VMs never sum to more than the contract, at any instant: a lender lowers its share before
// the borrower raises its own, and raises it again only after the loan has ended at the borrower. Tokens
// never exceed the caps they stand under. Together this gives, over every window t and all VMs, admitted <=
// burst + rate * t.
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// Requests are counted in millionths, so that a small rate can be divided between VMs.
constexpr std::int64_t microrequests_per_request = 1'000'000;

// Allowance for two VMs' clocks running at different speeds: 1 part in 100.
constexpr std::int64_t clock_drift_divisor = 100;

// A part of a contract: `rate` in millionths of a request per second, `cap` in millionths of a request.
struct budget_share {
    std::int64_t rate = 0;
    std::int64_t cap = 0;
    auto operator<=>(const budget_share&) const = default;
};

// A share that moved for a while. `party` is the incarnation at the other end.
struct loan {
    std::uint64_t peer = 0;
    budget_share amount;
    // What the borrower asked for; what it got may be less.
    budget_share requested;
    instant expires_at;
    auto operator<=>(const loan&) const = default;
};

// What a lender gives: a share and the tokens that come with its cap.
struct grant {
    budget_share amount;
    std::int64_t tokens = 0;
    auto operator<=>(const grant&) const = default;
};

// State of one workspace's budget at one VM.
struct budget {
    budget_share base;
    std::int64_t tokens = 0;
    // Part of a millionth that the refill has earned so far, in billionths of it.
    std::int64_t refill_remainder = 0;
    instant updated_at;
    std::vector<loan> lent;
    std::vector<loan> borrowed;
    // Arrivals per second, smoothed, in millionths.
    std::int64_t demand = 0;
    std::int64_t arrivals = 0;
    instant demand_window_start;
};

// Returns an empty budget with no share.
[[nodiscard]] budget make_budget(instant now);

// Sets the share that the member list gives this VM. An added cap starts without tokens.
void set_base_share(budget& state, budget_share base, instant now);

// Brings tokens, loans and demand up to `now`.
void advance(budget& state, instant now);

// Counts an arrival.
void record_arrival(budget& state, instant now);

// Takes one request's tokens. Returns whether there were enough.
[[nodiscard]] bool try_acquire(budget& state, instant now);

// Gives back a token taken for a request that was certainly not run.
void refund(budget& state, instant now);

// The share this VM may spend at the moment: base, less lent, plus borrowed.
[[nodiscard]] budget_share effective_share(const budget& state);

// Lends up to `wanted` to `borrower` for `duration`, counted by the borrower from before this call. The
// result is what the borrower holds from this VM in all; nothing when there is no spare share. The share
// comes back here after the duration and the drift allowance.
[[nodiscard]] std::optional<grant> lend(budget& state, std::uint64_t borrower, budget_share requested,
                                        milliseconds duration, instant now);

// Takes in a loan from `lender`, in place of a former one, that ends at `until`.
void accept_loan(budget& state, std::uint64_t lender, const grant& granted, instant expires_at, instant now);

// What this VM wants to borrow in all, given the contract; zero when its own share does.
[[nodiscard]] budget_share share_to_borrow(const budget& state, budget_share quota);

} // namespace cassiaspan
