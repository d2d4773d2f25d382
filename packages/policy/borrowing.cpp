#include "borrowing.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// A workspace that runs short asks the same lender again after this time at the earliest.
constexpr milliseconds urgent_interval{40};

// Half as much again as an even part.
std::int64_t part_of(std::int64_t wanted, std::int64_t lenders) {
    return wanted <= 0 ? 0 : std::min(wanted, 3 * wanted / (2 * lenders) + 1);
}

} // namespace

share part_for_each(share wanted, std::size_t lenders) {
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, lenders));
    return {part_of(wanted.rate, count), part_of(wanted.cap, count)};
}

bool is_ask_due(const lender_state& lender, share wanted, milliseconds loan, instant now) {
    const nanoseconds age = now - lender.asked;
    if (lender.asking || age < urgent_interval) {
        return false;
    }
    const bool more = wanted.rate > lender.wanted.rate + lender.wanted.rate / 2 ||
                      wanted.cap > lender.wanted.cap + lender.wanted.cap / 2;
    return more || age > loan / 2;
}

} // namespace cassiaspan
