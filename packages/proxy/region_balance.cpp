#include "region_balance.h"

#include "target_selection.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Demand is known when the averages have had time to fill.
constexpr milliseconds demand_learning_time{3000};
// Part of the allowed shift that planned changes use; the rest is left to requests that find no room.
constexpr double planned_shift_part = 0.6;
// Growth of a share in one window where the platform sets no bound.
constexpr double unbounded_growth = 0.25;

std::map<std::string, region_load> survey_regions(const node_core& core, const std::string& service,
                                                  const service_stats& learned, instant now) {
    std::map<std::string, region_load> regions;
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        regions[region];
    }
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        if (accepts_new_requests(core, *target, now)) {
            regions[target->info.region].slots += static_cast<double>(target->info.slots);
        }
    }
    const std::chrono::duration<double> warm = expected_service_times(learned).warm;
    for (const auto& [region, meter] : learned.demand_by_region) {
        regions[region].demand_slots = demand_rate(meter, now) * warm.count();
    }
    return regions;
}

bool is_demand_known(const service_stats& learned, instant now) {
    return learned.first_request_time.has_value() &&
           now - learned.first_request_time.value() >= demand_learning_time;
}

} // namespace

void update_region_shares(node_core& core, milliseconds interval) {
    const instant now = now_of(core);
    const region_shift_limits& terms = core.settings.shift_limits;
    const double growth =
        terms.max_share_increase > 0 ? terms.max_share_increase * planned_shift_part : unbounded_growth;
    const double step =
        growth * static_cast<double>(interval.count()) / static_cast<double>(terms.window.count());
    const std::string& own = core.settings.region;
    if (core.config) {
        for (const service_rule& rule : core.config->rules().services) {
            get_service_stats(core, rule.name);
        }
    }
    for (auto& [service, learned] : core.services) {
        const std::map<std::string, region_load> regions = survey_regions(core, service, learned, now);
        if (is_demand_known(learned, now)) {
            learned.shares = step_towards(learned.shares, compute_region_shares(regions, own), own, step);
        } else {
            learned.shares = initial_region_shares(regions, own);
        }
    }
}

} // namespace cassiaspan
