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
void note_demand(demand_meter& meter, double events, instant now);

// Returns the recent events per second.
[[nodiscard]] double demand_rate(const demand_meter& meter, instant now);

// One region as seen by one service.
struct region_supply {
    // Slots that the requests of the region's callers keep busy when every run is warm.
    double busy_slots = 0;
    // Slots of the targets that may be used.
    double slots = 0;
    auto operator<=>(const region_supply&) const = default;
};

// Part of the objects of one region's callers that each region serves; they add up to 1.
using region_shares = std::map<std::string, double>;

// Returns the parts for the callers of `own`: as much as its targets can bear, the rest where room is left.
// When all regions together are short of room, all get the same part of what they ask for.
[[nodiscard]] region_shares balance_regions(const std::map<std::string, region_supply>& regions,
                                            const std::string& own);

// Returns the parts as long as demand is unknown: every region is taken to ask as much as the others.
[[nodiscard]] region_shares presume_shares(const std::map<std::string, region_supply>& regions,
                                           const std::string& own);

// Moves the parts towards `wanted`. `max_step` bounds the growth of the own region's part, both ways.
[[nodiscard]] region_shares approach(const region_shares& shares, const region_shares& wanted,
                                     const std::string& own, double max_step);

// Returns the part that a region serves. Without parts, the own region serves all.
[[nodiscard]] double share_of(const region_shares& shares, const std::string& own, const std::string& region);

// Returns the region that serves the object. Without parts, that is `own`.
[[nodiscard]] const std::string& region_of_key(const region_shares& shares, const std::string& own,
                                               std::uint64_t key);

} // namespace cassiaspan
