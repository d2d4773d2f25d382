#include "target_selection.h"

#include "stable_hash.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// A round trip that is assumed until one was measured, within and between regions.
constexpr milliseconds near_round_trip{2};
constexpr milliseconds far_round_trip{60};

// One request in so many goes to its key's primary target although another target is known to be warm.
constexpr std::uint64_t exploring_share = 16;
// The same for a primary target that has joined within this time: callers gain from its slots soon.
constexpr std::uint64_t exploring_share_joined = 3;
constexpr milliseconds joining_time{10'000};
// How far a target's own times are taken to differ from the usual of its service.
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 8;

bool is_usable(const node_core& core, const request_plan& plan, const target_record& target, instant now) {
    const std::vector<std::string> any;
    const auto& workspace_regions = plan.workspace != nullptr ? plan.workspace->allowed_regions : any;
    return accepts_new_requests(core, target, now) &&
           is_region_allowed(plan.route->allowed_regions, workspace_regions, target.info.region);
}

bool is_cold(const target_record& target, instant now) {
    return now < target.cold_until || target.may_have_restarted;
}

// How requests to the target are spaced while it is cold.
cold_pacing_params cold_terms_of(const node_core& core, const request_plan& plan,
                                 const target_record& target) {
    constexpr double hash_range = 4294967296.0;
    const service_rule* rule = plan.config->find_service(plan.service);
    const double phase =
        static_cast<double>(low_32_bits(stable_hash(core.settings.vm, target.identity))) / hash_range;
    return {rule == nullptr ? 0 : rule->cold_requests_per_second, count_bucket_replicas(core).total, phase};
}

// Returns whether the target is warm, or its pace allows a request now.
bool cold_allows(const node_core& core, const request_plan& plan, const target_record& target, instant now) {
    if (!is_cold(target, now)) {
        return true;
    }
    const cold_pacing_params terms = cold_terms_of(core, plan, target);
    return terms.requests_per_second <= 0 || may_send_to_cold_target(target.cold, terms, now);
}

placement_candidate describe(const node_core& core, const target_record& target,
                             const std::optional<std::uint64_t>& key, const std::string& key_region,
                             instant now) {
    const bool near = target.info.region == core.settings.region;
    placement_candidate candidate;
    candidate.identity = target.identity;
    candidate.load = estimate_load(target, now);
    candidate.slots = static_cast<double>(std::max<std::size_t>(target.info.slots, 1));
    candidate.service_time_ratio =
        target.health.service_time_ratio == 0
            ? 1
            : std::clamp(target.health.service_time_ratio, min_slowness, max_slowness);
    candidate.recently_used =
        key && was_used(core.affinity_history, target.identity, *key, warm_retention, now);
    candidate.round_trip = target.health.round_trip != milliseconds(0) ? target.health.round_trip
                           : near                                      ? near_round_trip
                                                                       : far_round_trip;
    candidate.region_rank = target.info.region == key_region ? 0 : near ? 1 : 2;
    candidate.recently_joined = now - target.first_seen < joining_time;
    candidate.degraded = is_degraded(target.health);
    return candidate;
}

// Drops targets of regions that may not take the request now, unless no others are left.
void keep_open_regions(node_core& core, const region_shares& shares, const std::string& key_region,
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
    return !target.info.draining && !(target.removal_due_at && *target.removal_due_at <= now) &&
           core.evacuated_zones.count(target.info.availability_zone) == 0 &&
           !is_backing_off(target.health, now);
}

target_selection select_target(node_core& core, const request_plan& plan,
                               const std::vector<target_ptr>& tried) {
    const instant now = now_of(core);
    const service_stats& learned = get_service_stats(core, plan.service);
    const service_times times = expected_service_times(learned);
    std::vector<target_ptr> targets;
    std::vector<placement_candidate> candidates;
    bool any_usable = false;
    for (const target_ptr& target : core.targets.find_by_service(plan.service)) {
        if (!is_usable(core, plan, *target, now) ||
            std::find(tried.begin(), tried.end(), target) != tried.end()) {
            continue;
        }
        any_usable = true;
        if (cold_allows(core, plan, *target, now)) {
            targets.push_back(target);
        }
    }
    const std::string& own = core.settings.region;
    const std::string& key_region = plan.affinity ? region_of_key(learned.shares, own, *plan.affinity) : own;
    keep_open_regions(core, learned.shares, key_region, targets, now);
    candidates.reserve(targets.size());
    for (const target_ptr& target : targets) {
        candidates.push_back(describe(core, *target, plan.affinity, key_region, now));
    }
    const auto left = std::chrono::duration_cast<milliseconds>(plan.objective_deadline - now);
    const bool explore = core.random() % exploring_share == 0;
    const bool explore_joined = core.random() % exploring_share_joined == 0;
    const placement placed = place_request(candidates, {plan.affinity, times.warm, times.cold, explore,
                                                        explore_joined, std::max(left, milliseconds(0))});
    if (!placed.index) {
        return {nullptr, placed.expected_latency, !any_usable};
    }
    const target_ptr& chosen = targets[*placed.index];
    record_region_request(core.shift_limiter, core.settings.shift_limits, chosen->info.region, now);
    if (plan.affinity) {
        record_use(core.affinity_history, chosen->identity, *plan.affinity, now);
    }
    if (is_cold(*chosen, now)) {
        record_sent_to_cold_target(chosen->cold, cold_terms_of(core, plan, *chosen), now);
    }
    return {chosen, placed.expected_latency, false, placed.reason};
}

} // namespace cassiaspan
