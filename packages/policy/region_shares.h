// Distributes the affinity keys of a service over the regions when the callers of one region need more
// capacity than its targets have. For the callers of one region, each key is served by exactly one region.
// Overflow thereby moves a fixed set of keys, which become warm in the other region, instead of choosing a
// region per request. The shares follow demand and capacity in small steps, so that traffic does not shift
// abruptly.
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cassiaspan {

// Event counter with exponential decay.
struct demand_meter {
    // Decayed number of events as of `updated`.
    double count = 0;
    instant updated;
    auto operator<=>(const demand_meter&) const = default;
};

// Adds events that happened at `now`.
void record_demand(demand_meter& meter, double events, instant now);

// Returns the moving average of events per second.
[[nodiscard]] double demand_rate(const demand_meter& meter, instant now);

// Demand and capacity of one region for one service.
struct region_load {
    // Offered load of the region's callers: the average number of slots they occupy if every run is warm.
    double demand_slots = 0;
    // Total slots of the region's usable targets.
    double slots = 0;
    // Requests in flight at the region's usable targets, of the callers of all regions; moving average.
    double occupied_slots = 0;
    auto operator<=>(const region_load&) const = default;
};

// Fraction of the keys of one region's callers that each region serves. The fractions add up to 1.
using region_shares = std::map<std::string, double>;

// Returns the shares for the callers of `caller_region`. The region keeps as much of its load as its targets
// can serve; the rest goes to the other regions in proportion to their spare capacity. If the total demand
// exceeds the total capacity, all regions are loaded to the same utilization.
[[nodiscard]] region_shares compute_region_shares(const std::map<std::string, region_load>& regions,
                                                  const std::string& caller_region);

// Returns the shares to use until the demand is known; assumes the same demand in every region.
[[nodiscard]] region_shares initial_region_shares(const std::map<std::string, region_load>& regions,
                                                  const std::string& caller_region);

// Returns the regions with less than half of the slots of the largest one. Their targets cannot keep the keys
// of as many callers warm as those of other regions. `slots` are those of all targets, usable or not, so that
// failures do not change the result.
[[nodiscard]] std::set<std::string> find_small_regions(const std::map<std::string, double>& slots);

// Returns the shares for the callers of `caller_region` from what is measured at the targets, for regions of
// uneven capacity. compute_region_shares() assumes that every run is warm, but the targets of a small region
// cannot keep all keys of its callers warm: the more keys they serve, the longer each run takes. The region
// therefore gives away keys while its targets are occupied above the utilization of all regions, or above
// planned_occupancy if that is more, and takes them back below. Small differences change nothing.
[[nodiscard]] region_shares adjust_region_shares(const region_shares& shares,
                                                 const std::map<std::string, region_load>& regions,
                                                 const std::string& caller_region);

// Returns `shares` moved towards `desired`. The share of `caller_region` changes by at most `max_step`, up or
// down; the other shares move by the same fraction of their distance.
[[nodiscard]] region_shares step_towards(const region_shares& shares, const region_shares& desired,
                                         const std::string& caller_region, double max_step);

// Returns the share of `region`. If `shares` is empty, `caller_region` serves all keys.
[[nodiscard]] double share_of(const region_shares& shares, const std::string& caller_region,
                              const std::string& region);

// Returns the region that serves the key, given as a hash. If `shares` is empty, that is `caller_region`.
[[nodiscard]] const std::string& region_of_key(const region_shares& shares, const std::string& caller_region,
                                               std::uint64_t key);

} // namespace cassiaspan
