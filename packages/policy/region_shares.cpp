#include "region_shares.h"

#include "stable_hash.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Demand is averaged over about this time: longer than a round of reports, shorter than a wave of traffic.
constexpr std::chrono::duration<double> demand_averaging_time{2.0};
// Part of the slots that planned load may fill; the rest is for cold runs and for chance.
constexpr double planned_utilization = 0.75;
// A part of the objects so small is not worth its own place elsewhere.
constexpr double min_share = 0.02;

constexpr double hash_range = 18446744073709551616.0;

// Maps a key to [0, 1), other than for other purposes.
double hash_to_unit_interval(std::uint64_t key, std::uint64_t seed) {
    return static_cast<double>(mix_hash(key ^ mix_hash(seed))) / hash_range;
}

// Gives what the own region keeps and spreads the rest over the rooms of the others.
region_shares distribute_shares(double kept, const std::map<std::string, double>& spare_slots,
                                const std::string& caller_region) {
    double total = 0;
    for (const auto& [region, spare] : spare_slots) {
        total += spare;
    }
    region_shares shares;
    if (total <= 0 || kept > 1 - min_share) {
        shares[caller_region] = 1;
        return shares;
    }
    shares[caller_region] = kept;
    for (const auto& [region, spare] : spare_slots) {
        if (spare > 0) {
            shares[region] = (1 - kept) * spare / total;
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
    // Above 1 when there is not enough for all: every region is then filled to the same degree.
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
    const auto kept = shares.find(caller_region);
    if (kept == shares.end() || hash_to_unit_interval(key, stay_seed) < kept->second) {
        return caller_region;
    }
    // Keys that leave choose among the others by another hash, so that few of them move on when the own part
    // changes.
    double position = hash_to_unit_interval(key, move_seed) * (1 - kept->second);
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
