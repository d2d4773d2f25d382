#include "budget.h"

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>
#include <cmath>

namespace cassiaspan {

namespace {

// Wide enough for a rate times a time in nanoseconds.
using wide = boost::multiprecision::int128_t;

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
constexpr nanoseconds demand_window = milliseconds{250};
// Windows over which the demand is smoothed.
constexpr std::int64_t smoothing_windows = 8;
// A lender keeps a twentieth above its own demand, a borrower wants an eighth above: with wider margins a
// fleet that is loaded to nine tenths could not meet all wishes.
constexpr std::int64_t kept_margin_divisor = 20;
constexpr std::int64_t wanted_margin_divisor = 8;
// Tokens that a VM without any asks for.
constexpr std::int64_t urgent_requests = 4;
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

// Smooths what is noise, but follows at once what is more than three standard deviations of a Poisson count
// above.
void update_demand(budget& state, instant now) {
    const nanoseconds elapsed = now - state.demand_since;
    if (elapsed < demand_window) {
        return;
    }
    const auto measured = static_cast<std::int64_t>(wide(state.arrivals) * micro_requests *
                                                    nanoseconds_per_second / elapsed.count());
    const double expected =
        static_cast<double>(state.demand) / micro_requests * std::chrono::duration<double>(elapsed).count();
    const bool jumped = static_cast<double>(state.arrivals) > expected + 3 * std::sqrt(expected + 1);
    const bool long_ago = elapsed > 4 * demand_window;
    state.demand = jumped || long_ago
                       ? measured
                       : ((smoothing_windows - 1) * state.demand + measured) / smoothing_windows;
    state.arrivals = 0;
    state.demand_since = now;
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

// The lender keeps what its own callers use, with a little to spare.
share lendable_share(const budget& state) {
    const std::int64_t own_rate =
        std::min(state.base.rate, state.demand + state.demand / kept_margin_divisor);
    const std::int64_t own_cap =
        state.base.rate == 0 ? 0
                             : static_cast<std::int64_t>(wide(state.base.cap) * own_rate / state.base.rate);
    // Tokens above half of what may be held are a reserve that others may need more.
    const std::int64_t reserve = std::min(state.base.cap, state.tokens - effective_share(state).cap / 2);
    return {state.base.rate - own_rate, std::max(state.base.cap - own_cap, reserve)};
}

// The latest wish of each party but `borrower`, by one part of a share.
std::vector<std::int64_t> other_wishes(const budget& state, std::uint64_t borrower,
                                       std::int64_t share::*part) {
    std::vector<std::pair<std::uint64_t, std::int64_t>> latest;
    for (const loan& entry : state.lent) {
        const auto found = std::find_if(latest.begin(), latest.end(),
                                        [&](const auto& wish) { return wish.first == entry.party; });
        if (entry.party != borrower && found == latest.end()) {
            latest.emplace_back(entry.party, entry.wanted.*part);
        } else if (entry.party != borrower) {
            found->second = entry.wanted.*part;
        }
    }
    std::vector<std::int64_t> wishes;
    wishes.reserve(latest.size() + 1);
    for (const auto& [party, wish] : latest) {
        wishes.push_back(wish);
    }
    return wishes;
}

// Max-min fairness: small wishes are met, what is left is divided evenly among the larger ones.
std::int64_t fair_part(std::int64_t available, std::int64_t own, std::vector<std::int64_t> others) {
    others.push_back(own);
    std::sort(others.begin(), others.end());
    std::int64_t left = std::max<std::int64_t>(0, available);
    auto remaining = static_cast<std::int64_t>(others.size());
    for (const std::int64_t wish : others) {
        const std::int64_t part = std::min(wish, left / remaining);
        if (wish >= own) {
            return std::min(own, part);
        }
        left -= part;
        --remaining;
    }
    return 0;
}

// A loan that shrinks a little would be lost to both sides until the larger one has run out, so it stays as
// it is.
std::int64_t steady_wish(std::int64_t wanted, std::int64_t held) {
    return wanted < held && wanted >= held - held / 2 ? held : wanted;
}

// A borrower's fair part of what can be lent, as far as others do not hold it already.
share offered_share(const budget& state, std::uint64_t borrower, share wanted) {
    const share lent = sum_by_party(state.lent);
    const share held = lent_to(state, borrower);
    const share lendable = lendable_share(state);
    const share free{lendable.rate - (lent.rate - held.rate), lendable.cap - (lent.cap - held.cap)};
    const share fair{fair_part(lendable.rate, wanted.rate, other_wishes(state, borrower, &share::rate)),
                     fair_part(lendable.cap, wanted.cap, other_wishes(state, borrower, &share::cap))};
    return {std::clamp<std::int64_t>(free.rate, 0, fair.rate),
            std::clamp<std::int64_t>(free.cap, 0, fair.cap)};
}

// Arrivals per second in millionths: the smoothed rate, or what the present window shows beyond doubt.
std::int64_t expected_demand(const budget& state) {
    constexpr double shortest_window_s = 0.1;
    const double elapsed_s = std::chrono::duration<double>(state.updated - state.demand_since).count();
    const auto arrivals = static_cast<double>(state.arrivals);
    // Two standard deviations of a Poisson count below what was counted.
    const double certain = std::max(0.0, arrivals - 2 * std::sqrt(arrivals));
    const double rate = certain / std::max(elapsed_s, shortest_window_s);
    return std::max(state.demand, static_cast<std::int64_t>(rate * micro_requests));
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

std::optional<grant> lend(budget& state, std::uint64_t borrower, share wanted, milliseconds duration,
                          instant now) {
    advance(state, now);
    const share held = lent_to(state, borrower);
    wanted = {steady_wish(wanted.rate, held.rate), steady_wish(wanted.cap, held.cap)};
    const share amount = offered_share(state, borrower, wanted);
    const nanoseconds kept = duration + nanoseconds{duration} / clock_drift_divisor;
    if (amount.rate <= 0 && amount.cap <= 0) {
        // The wish is remembered, so that the next renewal by others leaves something.
        std::erase_if(state.lent, [borrower](const loan& entry) {
            return entry.party == borrower && entry.amount == share{};
        });
        state.lent.push_back({borrower, {}, wanted, now + kept});
        return std::nullopt;
    }
    const std::int64_t added_cap = std::max<std::int64_t>(0, amount.cap - held.cap);
    // Tokens on their way must stand under a cap that neither side uses meanwhile: only the added one.
    const std::int64_t tokens = std::clamp<std::int64_t>(state.tokens, 0, added_cap);
    state.tokens -= tokens;
    std::erase_if(state.lent, [&](const loan& entry) {
        return entry.party == borrower && entry.amount.rate <= amount.rate && entry.amount.cap <= amount.cap;
    });
    state.lent.push_back({borrower, amount, wanted, now + kept});
    clip(state);
    return grant{amount, tokens};
}

void accept_loan(budget& state, std::uint64_t lender, const grant& granted, instant until, instant now) {
    advance(state, now);
    if (until <= now) {
        return;
    }
    std::erase_if(state.borrowed, [lender](const loan& entry) { return entry.party == lender; });
    state.borrowed.push_back({lender, granted.amount, granted.amount, until});
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
    const std::int64_t demand = std::min(expected_demand(state), contract.rate);
    const bool short_of_rate = demand > own_rate;
    const bool short_of_tokens = state.tokens < micro_requests && demand > 0;
    if (!short_of_rate && !short_of_tokens) {
        return {};
    }
    const std::int64_t rate = std::min(contract.rate, demand + demand / wanted_margin_divisor);
    const auto cap =
        static_cast<std::int64_t>(wide(contract.cap) * rate / std::max<std::int64_t>(1, contract.rate));
    // A VM whose tokens have just run out needs some at once, whatever its rate.
    const std::int64_t at_once =
        short_of_tokens ? std::max(urgent_requests * micro_requests, contract.cap / 8) : 0;
    return {std::max<std::int64_t>(0, rate - own_rate),
            std::clamp<std::int64_t>(cap + at_once - own_cap, 0, contract.cap)};
}

} // namespace cassiaspan
