#include "region_balance.h"

#include "target_selection.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Demand is considered known once its moving averages have had this time to converge.
constexpr milliseconds demand_warmup_time{3000};
// Fraction of the allowed shift that planned changes use; the rest is reserved for requests that find no free
// capacity.
constexpr double planned_shift_fraction = 0.6;
// Maximum growth of a share in one window if the platform sets no limit.
constexpr double default_growth = 0.25;

// Time constant of the average of the slots that are in use: a few runs of a target.
constexpr std::chrono::duration<double> occupancy_averaging_time{1.0};

// Updates the moving averages of the slots that are in use at the service's targets, by region.
void update_occupied_slots(const node_core& core, const std::string& service, service_stats& stats,
                           milliseconds interval, instant now) {
    std::map<std::string, double> occupied;
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        if (accepts_new_requests(core, *target, now)) {
            occupied[target->info.region] += static_cast<double>(target->in_flight + target->peers_in_flight);
        }
    }
    const double weight = 1 - std::exp(-std::chrono::duration<double>(interval) / occupancy_averaging_time);
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        occupied.try_emplace(region, 0);
    }
    for (const auto& [region, slots] : occupied) {
        double& average = stats.occupied_slots[region];
        average += weight * (slots - average);
    }
}

// Returns the slots of all of the service's targets, usable or not, by region.
std::map<std::string, double> count_slots(const node_core& core, const std::string& service) {
    std::map<std::string, double> slots;
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        slots[region];
    }
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        slots[target->info.region] += static_cast<double>(target->info.slots);
    }
    return slots;
}

// Returns the demand and the usable slots of every region for the service.
std::map<std::string, region_load> compute_region_loads(const node_core& core, const std::string& service,
                                                        const service_stats& stats, instant now) {
    std::map<std::string, region_load> regions;
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        regions[region];
    }
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        if (accepts_new_requests(core, *target, now)) {
            regions[target->info.region].slots += static_cast<double>(target->info.slots);
        }
    }
    const std::chrono::duration<double> warm_service_time = expected_service_times(stats).warm;
    for (const auto& [region, meter] : stats.demand_by_region) {
        regions[region].demand_slots = demand_rate(meter, now) * warm_service_time.count();
    }
    for (const auto& [region, slots] : stats.occupied_slots) {
        regions[region].occupied_slots = slots;
    }
    return regions;
}

// Returns whether this VM has received requests for the service for long enough to know its demand.
bool is_demand_known(const service_stats& stats, instant now) {
    return stats.first_request_time.has_value() &&
           now - stats.first_request_time.value() >= demand_warmup_time;
}

} // namespace

void update_region_shares(node_core& core, milliseconds interval) {
    const instant now = now_of(core);
    const region_shift_limits& limits = core.settings.shift_limits;
    const double growth =
        limits.max_share_increase > 0 ? limits.max_share_increase * planned_shift_fraction : default_growth;
    const double step =
        growth * static_cast<double>(interval.count()) / static_cast<double>(limits.window.count());
    const std::string& own_region = core.settings.region;
    if (core.config) {
        for (const service_rule& rule : core.config->rules().services) {
            get_service_stats(core, rule.name);
        }
    }
    for (auto& [service, stats] : core.services) {
        update_occupied_slots(core, service, stats, interval, now);
        stats.small_regions = find_small_regions(count_slots(core, service));
        const std::map<std::string, region_load> regions = compute_region_loads(core, service, stats, now);
        if (is_demand_known(stats, now)) {
            const region_shares desired = stats.small_regions.empty()
                                              ? compute_region_shares(regions, own_region)
                                              : adjust_region_shares(stats.shares, regions, own_region);
            stats.shares = step_towards(stats.shares, desired, own_region, step);
        } else {
            stats.shares = initial_region_shares(regions, own_region);
        }
    }
}

} // namespace cassiaspan
