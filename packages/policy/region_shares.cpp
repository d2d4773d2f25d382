#include "region_shares.h"

#include "stable_hash.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Time constant of the demand average: longer than the interval of reports between VMs, shorter than a peak
// of traffic.
constexpr std::chrono::duration<double> demand_averaging_time{2.0};
// Fraction of the slots that planned load may use; the rest is for cold runs and random variation.
constexpr double planned_utilization = 0.75;
// Fraction of the slots that may be occupied where regions have uneven capacity. Above it, the runs of a
// target with few slots queue noticeably.
constexpr double planned_occupancy = 0.5;
// Relative difference to the intended occupancy within which shares stay as they are.
constexpr double occupancy_tolerance = 0.1;
// Slots of a region relative to those of the largest, below which the region is small.
constexpr double small_region_ratio = 0.5;
// A smaller share is not moved to other regions: so few keys are not worth it.
constexpr double min_share = 0.02;

// 2^64, the number of hash values.
constexpr double hash_range = 18446744073709551616.0;

// Maps a key to [0, 1). Different seeds give independent values.
double hash_to_unit_interval(std::uint64_t key, std::uint64_t seed) {
    return static_cast<double>(mix_hash(key ^ mix_hash(seed))) / hash_range;
}

// Returns the shares if the caller region keeps `own_share` and the rest is distributed over the other
// regions in proportion to their spare slots.
region_shares distribute_shares(double own_share, const std::map<std::string, double>& spare_slots,
                                const std::string& caller_region) {
    double total = 0;
    for (const auto& [region, spare] : spare_slots) {
        total += spare;
    }
    region_shares shares;
    if (total <= 0 || own_share > 1 - min_share) {
        shares[caller_region] = 1;
        return shares;
    }
    shares[caller_region] = own_share;
    for (const auto& [region, spare] : spare_slots) {
        if (spare > 0) {
            shares[region] = (1 - own_share) * spare / total;
        }
    }
    return shares;
}

} // namespace

void record_demand(demand_meter& meter, double events, instant now) {
    const std::chrono::duration<double> elapsed = now - meter.updated;
    meter.count = meter.count * std::exp(-elapsed / demand_averaging_time) + events;
    meter.updated = now;
}

double demand_rate(const demand_meter& meter, instant now) {
    const std::chrono::duration<double> elapsed = now - meter.updated;
    return meter.count * std::exp(-elapsed / demand_averaging_time) / demand_averaging_time.count();
}

region_shares compute_region_shares(const std::map<std::string, region_load>& regions,
                                    const std::string& caller_region) {
    double demand = 0;
    double capacity = 0;
    for (const auto& [region, load] : regions) {
        demand += load.demand_slots;
        capacity += planned_utilization * load.slots;
    }
    const auto found = regions.find(caller_region);
    if (found == regions.end() || found->second.demand_slots <= 0 || capacity <= 0) {
        return {{caller_region, 1.0}};
    }
    // Utilization of every region. It rises above planned_utilization if demand exceeds capacity; every
    // region is then loaded to the same degree.
    const double utilization = planned_utilization * std::max(1.0, demand / capacity);
    std::map<std::string, double> spare_slots;
    for (const auto& [region, load] : regions) {
        if (region != caller_region) {
            spare_slots[region] = std::max(0.0, utilization * load.slots - load.demand_slots);
        }
    }
    return distribute_shares(std::min(1.0, utilization * found->second.slots / found->second.demand_slots),
                             spare_slots, caller_region);
}

region_shares initial_region_shares(const std::map<std::string, region_load>& regions,
                                    const std::string& caller_region) {
    double slots = 0;
    for (const auto& [region, load] : regions) {
        slots += load.slots;
    }
    std::map<std::string, region_load> assumed = regions;
    for (auto& [region, load] : assumed) {
        load.demand_slots = planned_utilization * slots / static_cast<double>(regions.size());
    }
    return compute_region_shares(assumed, caller_region);
}

std::set<std::string> find_small_regions(const std::map<std::string, double>& slots) {
    double largest = 0;
    for (const auto& [region, count] : slots) {
        largest = std::max(largest, count);
    }
    std::set<std::string> small;
    for (const auto& [region, count] : slots) {
        if (count < small_region_ratio * largest) {
            small.insert(region);
        }
    }
    return small;
}

region_shares adjust_region_shares(const region_shares& shares,
                                   const std::map<std::string, region_load>& regions,
                                   const std::string& caller_region) {
    double occupied = 0;
    double capacity = 0;
    for (const auto& [region, load] : regions) {
        occupied += load.occupied_slots;
        capacity += load.slots;
    }
    if (capacity <= 0) {
        return {{caller_region, 1.0}};
    }
    const double intended = std::max(planned_occupancy, occupied / capacity);
    std::map<std::string, double> spare_slots;
    double total_spare = 0;
    for (const auto& [region, load] : regions) {
        if (region != caller_region) {
            spare_slots[region] = std::max(0.0, intended * load.slots - load.occupied_slots);
            total_spare += spare_slots[region];
        }
    }
    if (total_spare <= 0 && !shares.empty()) {
        return shares;
    }
    const auto found = regions.find(caller_region);
    if (found == regions.end() || found->second.slots <= 0) {
        return distribute_shares(0, spare_slots, caller_region);
    }
    const double own_share = share_of(shares, caller_region, caller_region);
    const double occupancy = found->second.occupied_slots / found->second.slots;
    if (std::abs(occupancy - intended) <= occupancy_tolerance * intended) {
        return distribute_shares(own_share, spare_slots, caller_region);
    }
    // A share of 0 could not grow in proportion.
    const double growing_share = std::max(own_share, min_share);
    return distribute_shares(occupancy <= 0 ? 1 : std::min(1.0, growing_share * intended / occupancy),
                             spare_slots, caller_region);
}

double share_of(const region_shares& shares, const std::string& caller_region, const std::string& region) {
    if (shares.empty()) {
        return region == caller_region ? 1 : 0;
    }
    const auto found = shares.find(region);
    return found == shares.end() ? 0 : found->second;
}

region_shares step_towards(const region_shares& shares, const region_shares& desired,
                           const std::string& caller_region, double max_step) {
    const double current_share = share_of(shares, caller_region, caller_region);
    const double change = std::abs(share_of(desired, caller_region, caller_region) - current_share);
    const double fraction = change <= max_step ? 1 : max_step / change;
    region_shares moved;
    for (const region_shares* source : {&shares, &desired}) {
        for (const auto& [region, share] : *source) {
            moved[region] = share_of(shares, caller_region, region) * (1 - fraction) +
                            share_of(desired, caller_region, region) * fraction;
        }
    }
    return moved;
}

const std::string& region_of_key(const region_shares& shares, const std::string& caller_region,
                                 std::uint64_t key) {
    constexpr std::uint64_t stay_seed = 1;
    constexpr std::uint64_t move_seed = 2;
    const auto own_entry = shares.find(caller_region);
    if (own_entry == shares.end() || hash_to_unit_interval(key, stay_seed) < own_entry->second) {
        return caller_region;
    }
    // Keys that leave the caller region are distributed by a second hash, so that few of them change region
    // when the caller region's share changes.
    double position = hash_to_unit_interval(key, move_seed) * (1 - own_entry->second);
    const std::string* last = &caller_region;
    for (const auto& [region, share] : shares) {
        if (region == caller_region || share <= 0) {
            continue;
        }
        last = &region;
        position -= share;
        if (position < 0) {
            break;
        }
    }
    return *last;
}

} // namespace cassiaspan
