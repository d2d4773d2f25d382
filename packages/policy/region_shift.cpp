#include "region_shift.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr std::int64_t kept_steps = 2 * shift_steps_per_window;
// Requests in the earlier window from which its shares count.
constexpr std::uint32_t min_requests = 4;

// Counts of one region in the earlier and in the later window.
struct window_counts {
    std::uint32_t earlier = 0;
    std::uint32_t later = 0;
};

// Moves on to the present step and clears those that have become too old.
void advance(region_shift& shift, const shift_terms& terms, instant now) {
    const auto length = terms.window / static_cast<std::int64_t>(shift_steps_per_window);
    const std::int64_t step = now.time_since_epoch() / length;
    const std::int64_t passed = std::min(step - shift.newest, kept_steps);
    for (std::int64_t i = 0; i < passed; ++i) {
        for (auto& [region, counts] : shift.regions) {
            counts.steps.at(static_cast<std::size_t>((step - i) % kept_steps)) = 0;
        }
    }
    shift.newest = std::max(shift.newest, step);
}

window_counts count(const region_shift& shift, const region_counts& counts) {
    window_counts sum;
    for (std::int64_t age = 0; age < kept_steps; ++age) {
        const std::uint32_t value =
            counts.steps.at(static_cast<std::size_t>((shift.newest - age + kept_steps) % kept_steps));
        (age < kept_steps / 2 ? sum.later : sum.earlier) += value;
    }
    return sum;
}

} // namespace

void note_region(region_shift& shift, const shift_terms& terms, const std::string& region, instant now) {
    advance(shift, terms, now);
    ++shift.regions[region].steps.at(static_cast<std::size_t>(shift.newest % kept_steps));
}

bool may_grow(region_shift& shift, const shift_terms& terms, const std::string& region, double planned_share,
              instant now) {
    if (terms.max_growth <= 0) {
        return true;
    }
    advance(shift, terms, now);
    window_counts all;
    for (const auto& [name, counts] : shift.regions) {
        const window_counts each = count(shift, counts);
        all.earlier += each.earlier;
        all.later += each.later;
    }
    const window_counts own = count(shift, shift.regions[region]);
    const bool is_known = all.earlier >= min_requests;
    const double before = is_known ? static_cast<double>(own.earlier) / all.earlier : planned_share;
    const double after = static_cast<double>(own.later + 1) / (all.later + 1);
    // A single request is always allowed to be one.
    const double grain = 1.0 / (all.later + 1);
    return after <= before + terms.max_growth + grain;
}

std::set<std::string> open_regions(region_shift& shift, const shift_terms& terms,
                                   const std::set<std::string>& regions, const region_shares& shares,
                                   const std::string& own, const std::string& planned, instant now) {
    std::set<std::string> open;
    for (const std::string& region : regions) {
        if (region == planned || may_grow(shift, terms, region, share_of(shares, own, region), now)) {
            open.insert(region);
        }
    }
    return open;
}

} // namespace cassiaspan
