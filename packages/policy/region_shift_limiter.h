// Limits how fast the requests that one VM takes move from one region to another: a region's share of them
// may only grow by so much from one window of time to the next, upwards as well as back.
#pragma once

#include "clock.h"
#include "region_shares.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cassiaspan {

// How much of the requests may move, and the time over which shares are taken.
struct region_shift_limits {
    // Largest growth of a region's share from one window to the next; 0 means no limit.
    double max_share_increase = 0;
    milliseconds window{2000};
    auto operator<=>(const region_shift_limits&) const = default;
};

// Two windows of counts are kept, in steps of a twentieth of a window.
constexpr std::size_t shift_buckets_per_window = 20;

struct region_request_counts {
    std::array<std::uint32_t, 2 * shift_buckets_per_window> buckets{};
    auto operator<=>(const region_request_counts&) const = default;
};

// Where the requests of the last two windows were sent.
struct region_shift_limiter {
    std::map<std::string, region_request_counts> regions;
    // The newest step, counted from the clock's beginning.
    std::int64_t newest_bucket = 0;
};

// Notes that a request was sent to the region.
void record_region_request(region_shift_limiter& limiter, const region_shift_limits& limits,
                           const std::string& region, instant now);

// Returns whether one more request may be sent to the region now. While there are too few requests to speak
// of shares, the region is taken to have had `planned_share` of them, so that a start does not begin with a
// shift away from the plan.
[[nodiscard]] bool may_send_to_region(region_shift_limiter& limiter, const region_shift_limits& limits,
                                      const std::string& region, double planned_share, instant now);

// Returns those of the regions that may take a request for an object now. The region that the plan gives the
// object stays open: plans move slowly enough by themselves. `shares` is the plan for callers of `own`.
[[nodiscard]] std::set<std::string> eligible_regions(region_shift_limiter& limiter,
                                                     const region_shift_limits& limits,
                                                     const std::set<std::string>& regions,
                                                     const region_shares& shares, const std::string& own,
                                                     const std::string& planned, instant now);

} // namespace cassiaspan
