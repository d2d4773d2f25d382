// Limits how fast one VM's traffic shifts between regions. From one time window to the next, a region's share
// of the VM's requests may grow by at most a fixed amount; this applies to shifts in either direction.
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

// Limit of the shift and the window over which shares are computed.
struct region_shift_limits {
    // Largest increase of a region's share from one window to the next, 0 to 1; 0 means no limit.
    double max_share_increase = 0;
    milliseconds window{2000};
    auto operator<=>(const region_shift_limits&) const = default;
};

// The previous and the current window are counted in buckets of 1/20 of a window.
constexpr std::size_t shift_buckets_per_window = 20;

// Requests sent to one region, in a ring of buckets.
struct region_request_counts {
    std::array<std::uint32_t, 2 * shift_buckets_per_window> buckets{};
    auto operator<=>(const region_request_counts&) const = default;
};

// Requests per region over the last two windows.
struct region_shift_limiter {
    std::map<std::string, region_request_counts> regions;
    // Number of the newest bucket, counted from the epoch of the clock.
    std::int64_t newest_bucket = 0;
};

// Records that a request was sent to the region.
void record_region_request(region_shift_limiter& limiter, const region_shift_limits& limits,
                           const std::string& region, instant now);

// Returns whether one more request may be sent to the region now. If the previous window has too few requests
// to compute shares, `planned_share` is used as the region's previous share, so that a VM that starts does
// not shift traffic away from the plan.
[[nodiscard]] bool may_send_to_region(region_shift_limiter& limiter, const region_shift_limits& limits,
                                      const std::string& region, double planned_share, instant now);

// Returns those of `regions` that may receive a request now. `shares` is the plan for callers of
// `caller_region`; `planned_region`, which the plan assigns to the request's key, is always eligible, because
// the plan itself changes slowly enough.
[[nodiscard]] std::set<std::string>
eligible_regions(region_shift_limiter& limiter, const region_shift_limits& limits,
                 const std::set<std::string>& regions, const region_shares& shares,
                 const std::string& caller_region, const std::string& planned_region, instant now);

} // namespace cassiaspan
