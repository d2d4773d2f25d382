#include "region_shift_limiter.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr std::int64_t kept_buckets = 2 * shift_buckets_per_window;
// Requests in the earlier window from which its shares count.
constexpr std::uint32_t min_baseline_requests = 4;

// Counts of one region in the earlier and in the later window.
struct window_counts {
    std::uint32_t previous = 0;
    std::uint32_t current = 0;
};

// Moves on to the present step and clears those that have become too old.
void advance_buckets(region_shift_limiter& limiter, const region_shift_limits& limits, instant now) {
    const auto bucket_length = limits.window / static_cast<std::int64_t>(shift_buckets_per_window);
    const std::int64_t bucket = now.time_since_epoch() / bucket_length;
    const std::int64_t expired = std::min(bucket - limiter.newest_bucket, kept_buckets);
    for (std::int64_t i = 0; i < expired; ++i) {
        for (auto& [region, counts] : limiter.regions) {
            counts.buckets.at(static_cast<std::size_t>((bucket - i) % kept_buckets)) = 0;
        }
    }
    limiter.newest_bucket = std::max(limiter.newest_bucket, bucket);
}

window_counts count_requests(const region_shift_limiter& limiter, const region_request_counts& counts) {
    window_counts sum;
    for (std::int64_t age = 0; age < kept_buckets; ++age) {
        const std::uint32_t value = counts.buckets.at(
            static_cast<std::size_t>((limiter.newest_bucket - age + kept_buckets) % kept_buckets));
        (age < kept_buckets / 2 ? sum.current : sum.previous) += value;
    }
    return sum;
}

} // namespace

void record_region_request(region_shift_limiter& limiter, const region_shift_limits& limits,
                           const std::string& region, instant now) {
    advance_buckets(limiter, limits, now);
    ++limiter.regions[region].buckets.at(static_cast<std::size_t>(limiter.newest_bucket % kept_buckets));
}

bool may_send_to_region(region_shift_limiter& limiter, const region_shift_limits& limits,
                        const std::string& region, double planned_share, instant now) {
    if (limits.max_share_increase <= 0) {
        return true;
    }
    advance_buckets(limiter, limits, now);
    window_counts all;
    for (const auto& [name, counts] : limiter.regions) {
        const window_counts each = count_requests(limiter, counts);
        all.previous += each.previous;
        all.current += each.current;
    }
    const window_counts own = count_requests(limiter, limiter.regions[region]);
    const bool has_baseline = all.previous >= min_baseline_requests;
    const double previous_share =
        has_baseline ? static_cast<double>(own.previous) / all.previous : planned_share;
    const double new_share = static_cast<double>(own.current + 1) / (all.current + 1);
    // A single request is always allowed to be one.
    const double one_request = 1.0 / (all.current + 1);
    return new_share <= previous_share + limits.max_share_increase + one_request;
}

std::set<std::string> eligible_regions(region_shift_limiter& limiter, const region_shift_limits& limits,
                                       const std::set<std::string>& regions, const region_shares& shares,
                                       const std::string& own, const std::string& planned, instant now) {
    std::set<std::string> eligible;
    for (const std::string& region : regions) {
        if (region == planned ||
            may_send_to_region(limiter, limits, region, share_of(shares, own, region), now)) {
            eligible.insert(region);
        }
    }
    return eligible;
}

} // namespace cassiaspan
