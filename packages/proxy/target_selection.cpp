#include "target_selection.h"

#include "class_admission.h"
#include "fleet_hubs.h"
#include "stable_hash.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Round trip that is assumed until one is measured, within a region and between regions.
constexpr milliseconds default_round_trip_in_region{2};
constexpr milliseconds default_round_trip_across_regions{60};

// One request in this many is sent to the primary target of its key even if another target is known to be
// warm.
constexpr std::uint64_t explore_interval = 16;
// The same for a primary target that was first seen within `new_target_period`, so that a new target's slots
// are used soon.
constexpr std::uint64_t explore_interval_for_new_target = 3;
constexpr milliseconds new_target_period{10'000};
// Bounds of a candidate's service_time_ratio: its expected service time relative to the usual one of its
// service.
constexpr double min_service_time_ratio = 0.5;
constexpr double max_service_time_ratio = 8;

// Returns whether the target accepts new requests, apart from what it has announced in its responses.
bool is_usable(const node_core& core, const target_record& target, instant now) {
    return !target.info.draining && !(target.removal_due_at && *target.removal_due_at <= now) &&
           core.evacuated_zones.count(target.info.availability_zone) == 0 &&
           !is_backing_off(target.health, now);
}

// Returns whether the target is leaving and may be used if no other target can be.
bool is_last_resort(const node_core& core, const target_record& target, instant now) {
    return is_usable(core, target, now) && !is_paused(target.availability, now) &&
           may_use_while_leaving(target.availability, core.settings.target_drain_time, now);
}

// Returns whether the target accepts new requests again at the end of its pause.
bool is_only_paused(const node_core& core, const target_record& target, instant now) {
    return is_usable(core, target, now) && !is_leaving(target.availability) &&
           is_paused(target.availability, now);
}

// Returns whether the route and the workspace allow the target's region.
bool is_allowed(const request_plan& plan, const target_record& target) {
    const std::vector<std::string> unrestricted;
    const auto& workspace_regions =
        plan.workspace != nullptr ? plan.workspace->allowed_regions : unrestricted;
    return is_region_allowed(plan.route->allowed_regions, workspace_regions, target.info.region);
}

// Returns the targets of the plan's service that are allowed, not among `tried`, and accepted by `accepts`.
std::vector<target_ptr> find_eligible(const node_core& core, const request_plan& plan,
                                      const std::vector<target_ptr>& tried,
                                      bool (*accepts)(const node_core&, const target_record&, instant),
                                      instant now) {
    std::vector<target_ptr> eligible;
    for (const target_ptr& target : core.targets.find_by_service(plan.service)) {
        if (accepts(core, *target, now) && is_allowed(plan, *target) &&
            std::find(tried.begin(), tried.end(), target) == tried.end()) {
            eligible.push_back(target);
        }
    }
    return eligible;
}

bool is_cold(const target_record& target, instant now) {
    return now < target.cold_until || target.may_have_restarted;
}

// Returns the request rate that the target's service allows while a target is cold, and this VM's share and
// phase of it.
cold_pacing_params make_cold_pacing_params(const node_core& core, const request_plan& plan,
                                           const target_record& target) {
    constexpr double hash_range = 4294967296.0;
    const service_rule* rule = plan.config->find_service(plan.service);
    const double phase =
        static_cast<double>(low_32_bits(stable_hash(core.settings.vm, target.id_hash))) / hash_range;
    return {rule == nullptr ? 0 : rule->cold_requests_per_second, count_bucket_replicas(core).total, phase};
}

// Returns whether the target is warm, or its cold-start pacing allows a request now.
bool pacing_allows(const node_core& core, const request_plan& plan, const target_record& target,
                   instant now) {
    if (!is_cold(target, now)) {
        return true;
    }
    const cold_pacing_params params = make_cold_pacing_params(core, plan, target);
    return params.requests_per_second <= 0 || may_send_to_cold_target(target.pacing, params, now);
}

// Returns the target as the placement policy sees it. `key_region` is the region that serves the affinity
// key.
placement_candidate make_candidate(const node_core& core, const target_record& target,
                                   const std::optional<std::uint64_t>& affinity_hash,
                                   const std::string& key_region, instant now) {
    const bool is_same_region = target.info.region == core.settings.region;
    placement_candidate candidate;
    candidate.identity = target.id_hash;
    candidate.load = estimate_load(target, now);
    candidate.slots = static_cast<double>(std::max<std::size_t>(target.info.slots, 1));
    candidate.slowdown = believed_slowdown(target.last_speed_report, now);
    const double usual_ratio = target.health.service_time_ratio == 0 ? 1 : target.health.service_time_ratio;
    candidate.service_time_ratio =
        std::clamp(usual_ratio * candidate.slowdown, min_service_time_ratio, max_service_time_ratio);
    candidate.recently_used =
        affinity_hash && was_used(core.affinity_history, target.id_hash, *affinity_hash, warm_retention, now);
    candidate.round_trip = target.health.round_trip != milliseconds(0) ? target.health.round_trip
                           : is_same_region                            ? default_round_trip_in_region
                                                                       : default_round_trip_across_regions;
    candidate.region_rank = target.info.region == key_region ? 0 : is_same_region ? 1 : 2;
    candidate.recently_joined = now - target.first_seen < new_target_period;
    candidate.degraded = is_degraded(target.health);
    candidate.zone = stable_hash(target.info.availability_zone);
    return candidate;
}

// Removes targets in regions whose share of requests may not grow at present (region_shift_limiter.h), unless
// that would leave none.
void drop_closed_regions(node_core& core, const region_shares& shares, const std::string& key_region,
                         std::vector<target_ptr>& targets, instant now) {
    std::set<std::string> regions;
    for (const target_ptr& target : targets) {
        regions.insert(target->info.region);
    }
    const std::set<std::string> open =
        eligible_regions(core.shift_limiter, core.settings.shift_limits, regions, shares,
                         core.settings.region, key_region, now);
    if (!open.empty()) {
        std::erase_if(targets,
                      [&](const target_ptr& target) { return open.count(target->info.region) == 0; });
    }
}

} // namespace

bool accepts_new_requests(const node_core& core, const target_record& target, instant now) {
    return is_usable(core, target, now) && !is_leaving(target.availability) &&
           !is_paused(target.availability, now);
}

target_selection select_target(node_core& core, const request_plan& plan,
                               const std::vector<target_ptr>& tried) {
    const instant now = now_of(core);
    const service_stats& stats = get_service_stats(core, plan.service);
    const service_times expected = class_service_times(core, plan);
    std::vector<target_ptr> targets = find_eligible(core, plan, tried, accepts_new_requests, now);
    if (targets.empty()) {
        targets = find_eligible(core, plan, tried, is_last_resort, now);
    }
    const bool any_eligible = !targets.empty();
    std::erase_if(targets,
                  [&](const target_ptr& target) { return !pacing_allows(core, plan, *target, now); });
    std::vector<placement_candidate> candidates;
    const std::string& own_region = core.settings.region;
    const std::string& key_region =
        plan.affinity_hash ? region_of_key(stats.shares, own_region, *plan.affinity_hash) : own_region;
    drop_closed_regions(core, stats.shares, key_region, targets, now);
    candidates.reserve(targets.size());
    const std::optional<double> occupancy = more_urgent_occupancy(core, plan);
    for (const target_ptr& target : targets) {
        placement_candidate& candidate =
            candidates.emplace_back(make_candidate(core, *target, plan.affinity_hash, key_region, now));
        if (occupancy) {
            candidate.usable_slots =
                slots_for_class(candidate.slots, *occupancy * candidate.slots, candidate.identity);
        }
    }
    const auto time_left = std::chrono::duration_cast<milliseconds>(plan.objective_deadline - now);
    const bool explore = core.random() % explore_interval == 0;
    const bool explore_joined = core.random() % explore_interval_for_new_target == 0;
    const bool reports_speed = std::any_of(targets.begin(), targets.end(), [](const target_ptr& target) {
        return target->last_speed_report.has_value();
    });
    const auto random = reports_speed ? std::optional<std::uint64_t>(core.random()) : std::nullopt;
    const placement choice = place_request(
        candidates,
        {plan.affinity_hash, expected.warm, expected.cold, explore, explore_joined,
         std::max(time_left, milliseconds(0)), uses_hubs(core), stats.small_regions.count(key_region) != 0,
         stable_hash(core.settings.availability_zone), is_class_service_short(core, plan), random});
    if (!choice.index) {
        return {nullptr, choice.expected_latency, !any_eligible};
    }
    const target_ptr& chosen = targets[*choice.index];
    return {chosen, choice.expected_latency, false, choice.reason};
}

std::optional<milliseconds> time_to_end_of_pause(const node_core& core, const request_plan& plan) {
    const instant now = now_of(core);
    const std::vector<target_ptr> paused = find_eligible(core, plan, {}, is_only_paused, now);
    if (paused.empty() || !find_eligible(core, plan, {}, accepts_new_requests, now).empty() ||
        !find_eligible(core, plan, {}, is_last_resort, now).empty()) {
        return std::nullopt;
    }
    instant first_end = instant::max();
    for (const target_ptr& target : paused) {
        first_end = std::min(first_end, target->availability.paused_until);
    }
    return std::chrono::ceil<milliseconds>(first_end - now);
}

void record_selection(node_core& core, const request_plan& plan, target_record& target) {
    const instant now = now_of(core);
    record_region_request(core.shift_limiter, core.settings.shift_limits, target.info.region, now);
    if (plan.affinity_hash) {
        record_use(core.affinity_history, target.id_hash, *plan.affinity_hash, now);
    }
    if (is_cold(target, now)) {
        record_sent_to_cold_target(target.pacing, make_cold_pacing_params(core, plan, target), now);
    }
}

} // namespace cassiaspan
