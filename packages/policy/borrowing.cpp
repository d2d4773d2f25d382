#include "borrowing.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Shortest time between two requests to the same lender, also for a workspace that is short of tokens.
constexpr milliseconds min_request_interval{40};

// Returns 3/2 of an even part plus one unit, at most the whole, and 0 if nothing is requested.
std::int64_t part_per_lender(std::int64_t requested, std::int64_t lenders) {
    return requested <= 0 ? 0 : std::min(requested, 3 * requested / (2 * lenders) + 1);
}

} // namespace

budget_share share_per_lender(budget_share requested, std::size_t lenders) {
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, lenders));
    return {part_per_lender(requested.rate, count), part_per_lender(requested.cap, count)};
}

bool is_loan_request_due(const lender_state& lender, budget_share requested, milliseconds loan_duration,
                         instant now) {
    const nanoseconds age = now - lender.requested_at;
    if (lender.request_pending || age < min_request_interval) {
        return false;
    }
    const bool more = requested.rate > lender.requested.rate + lender.requested.rate / 2 ||
                      requested.cap > lender.requested.cap + lender.requested.cap / 2;
    return more || age > loan_duration / 2;
}

} // namespace cassiaspan
