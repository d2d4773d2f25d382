// Divides a service's objects between the regions when the callers of one region ask for more than its
// targets can bear. An object belongs to one region for all callers of its own: a part of the keys moves as a
// whole and is warm there, instead of each request looking for room anew. The parts follow demand and room,
// slowly enough that callers are not moved at once.
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cassiaspan {

// Counts events over a decaying window.
struct demand_meter {
    double count = 0;
    instant updated;
    auto operator<=>(const demand_meter&) const = default;
};

// Notes events that happened just now.
void record_demand(demand_meter& meter, double events, instant now);

// Returns the recent events per second.
[[nodiscard]] double demand_rate(const demand_meter& meter, instant now);

// One region as seen by one service.
struct region_load {
    // Slots that the requests of the region's callers keep busy when every run is warm.
    double demand_slots = 0;
    // Slots of the targets that may be used.
    double slots = 0;
    auto operator<=>(const region_load&) const = default;
};

// Part of the objects of one region's callers that each region serves; they add up to 1.
using region_shares = std::map<std::string, double>;

// Returns the parts for the callers of `own`: as much as its targets can bear, the rest where room is left.
// When all regions together are short of room, all get the same part of what they ask for.
[[nodiscard]] region_shares compute_region_shares(const std::map<std::string, region_load>& regions,
                                                  const std::string& caller_region);

// Returns the parts as long as demand is unknown: every region is taken to ask as much as the others.
[[nodiscard]] region_shares initial_region_shares(const std::map<std::string, region_load>& regions,
                                                  const std::string& caller_region);

// Moves the parts towards `wanted`. `max_step` bounds the growth of the own region's part, both ways.
[[nodiscard]] region_shares step_towards(const region_shares& shares, const region_shares& desired,
                                         const std::string& caller_region, double max_step);

// Returns the part that a region serves. Without parts, the own region serves all.
[[nodiscard]] double share_of(const region_shares& shares, const std::string& caller_region,
                              const std::string& region);

// Returns the region that serves the object. Without parts, that is `own`.
[[nodiscard]] const std::string& region_of_key(const region_shares& shares, const std::string& caller_region,
                                               std::uint64_t key);

} // namespace cassiaspan
