#include "region_shares.h"

#include "stable_hash.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Demand is averaged over about this time: longer than a round of reports, shorter than a wave of traffic.
constexpr std::chrono::duration<double> demand_time{2.0};
// Part of the slots that planned load may fill; the rest is for cold runs and for chance.
constexpr double planned_utilization = 0.75;
// A part of the objects so small is not worth its own place elsewhere.
constexpr double min_share = 0.02;

constexpr double hash_range = 18446744073709551616.0;

// Maps a key to [0, 1), other than for other purposes.
double unit_of(std::uint64_t key, std::uint64_t purpose) {
    return static_cast<double>(mix_hash(key ^ mix_hash(purpose))) / hash_range;
}

// Gives what the own region keeps and spreads the rest over the rooms of the others.
region_shares spread(double kept, const std::map<std::string, double>& rooms, const std::string& own) {
    double total = 0;
    for (const auto& [region, room] : rooms) {
        total += room;
    }
    region_shares shares;
    if (total <= 0 || kept > 1 - min_share) {
        shares[own] = 1;
        return shares;
    }
    shares[own] = kept;
    for (const auto& [region, room] : rooms) {
        if (room > 0) {
            shares[region] = (1 - kept) * room / total;
        }
    }
    return shares;
}

} // namespace

void note_demand(demand_meter& meter, double events, instant now) {
    const std::chrono::duration<double> passed = now - meter.updated;
    meter.count = meter.count * std::exp(-passed / demand_time) + events;
    meter.updated = now;
}

double demand_rate(const demand_meter& meter, instant now) {
    const std::chrono::duration<double> passed = now - meter.updated;
    return meter.count * std::exp(-passed / demand_time) / demand_time.count();
}

region_shares balance_regions(const std::map<std::string, region_supply>& regions, const std::string& own) {
    double demand = 0;
    double capacity = 0;
    for (const auto& [region, supply] : regions) {
        demand += supply.busy_slots;
        capacity += planned_utilization * supply.slots;
    }
    const auto found = regions.find(own);
    if (found == regions.end() || found->second.busy_slots <= 0 || capacity <= 0) {
        return {{own, 1.0}};
    }
    // Above 1 when there is not enough for all: every region is then filled to the same degree.
    const double fill = planned_utilization * std::max(1.0, demand / capacity);
    std::map<std::string, double> rooms;
    for (const auto& [region, supply] : regions) {
        if (region != own) {
            rooms[region] = std::max(0.0, fill * supply.slots - supply.busy_slots);
        }
    }
    return spread(std::min(1.0, fill * found->second.slots / found->second.busy_slots), rooms, own);
}

region_shares presume_shares(const std::map<std::string, region_supply>& regions, const std::string& own) {
    double slots = 0;
    for (const auto& [region, supply] : regions) {
        slots += supply.slots;
    }
    std::map<std::string, region_supply> presumed = regions;
    for (auto& [region, supply] : presumed) {
        supply.busy_slots = planned_utilization * slots / static_cast<double>(regions.size());
    }
    return balance_regions(presumed, own);
}

double share_of(const region_shares& shares, const std::string& own, const std::string& region) {
    if (shares.empty()) {
        return region == own ? 1 : 0;
    }
    const auto found = shares.find(region);
    return found == shares.end() ? 0 : found->second;
}

region_shares approach(const region_shares& shares, const region_shares& wanted, const std::string& own,
                       double max_step) {
    const double before = share_of(shares, own, own);
    const double distance = std::abs(share_of(wanted, own, own) - before);
    const double part = distance <= max_step ? 1 : max_step / distance;
    region_shares moved;
    for (const region_shares* each : {&shares, &wanted}) {
        for (const auto& [region, share] : *each) {
            moved[region] = share_of(shares, own, region) * (1 - part) + share_of(wanted, own, region) * part;
        }
    }
    return moved;
}

const std::string& region_of_key(const region_shares& shares, const std::string& own, std::uint64_t key) {
    constexpr std::uint64_t keeping = 1;
    constexpr std::uint64_t moving = 2;
    const auto kept = shares.find(own);
    if (kept == shares.end() || unit_of(key, keeping) < kept->second) {
        return own;
    }
    // Keys that leave choose among the others by another hash, so that few of them move on when the own part
    // changes.
    double point = unit_of(key, moving) * (1 - kept->second);
    const std::string* last = &own;
    for (const auto& [region, share] : shares) {
        if (region == own || share <= 0) {
            continue;
        }
        last = &region;
        point -= share;
        if (point < 0) {
            break;
        }
    }
    return *last;
}

} // namespace cassiaspan
