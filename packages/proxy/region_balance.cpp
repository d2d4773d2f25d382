#include "region_balance.h"

#include "target_selection.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Demand is considered known once its moving averages have had this time to converge.
constexpr milliseconds demand_warmup_time{3000};
// Fraction of the allowed shift that planned changes use; the rest is reserved for requests that find no free
// capacity.
constexpr double planned_shift_fraction = 0.6;
// Maximum growth of a share in one window if the platform sets no limit.
constexpr double default_growth = 0.25;

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
        const std::map<std::string, region_load> regions = compute_region_loads(core, service, stats, now);
        if (is_demand_known(stats, now)) {
            stats.shares =
                step_towards(stats.shares, compute_region_shares(regions, own_region), own_region, step);
        } else {
            stats.shares = initial_region_shares(regions, own_region);
        }
    }
}

} // namespace cassiaspan
