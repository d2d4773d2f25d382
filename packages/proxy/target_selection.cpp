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

bool is_usable(const node_core& core, const request_plan& plan, const known_target& target, instant now) {
    const std::vector<std::string> any;
    const auto& workspace_regions = plan.workspace != nullptr ? plan.workspace->allowed_regions : any;
    return takes_new_work(core, target, now) &&
           is_region_allowed(plan.route->allowed_regions, workspace_regions, target.info.region);
}

bool is_cold(const known_target& target, instant now) {
    return now < target.cold_until || target.may_be_restarted;
}

// How requests to the target are spaced while it is cold.
cold_terms cold_terms_of(const node_core& core, const request_plan& plan, const known_target& target) {
    constexpr double hash_range = 4294967296.0;
    const service_rule* rule = plan.config->find_service(plan.service);
    const double phase =
        static_cast<double>(low_half(stable_hash(core.settings.vm, target.identity))) / hash_range;
    return {rule == nullptr ? 0 : rule->cold_requests_per_second, count_bucket_replicas(core).total, phase};
}

// Returns whether the target is warm, or its pace allows a request now.
bool cold_allows(const node_core& core, const request_plan& plan, const known_target& target, instant now) {
    if (!is_cold(target, now)) {
        return true;
    }
    const cold_terms terms = cold_terms_of(core, plan, target);
    return terms.requests_per_second <= 0 || may_send_cold(target.cold, terms, now);
}

placement_candidate describe(const node_core& core, const known_target& target,
                             const std::optional<std::uint64_t>& key, const std::string& key_region,
                             instant now) {
    const bool near = target.info.region == core.settings.region;
    placement_candidate candidate;
    candidate.identity = target.identity;
    candidate.load = estimate_load(target, now);
    candidate.slots = static_cast<double>(std::max<std::size_t>(target.info.slots, 1));
    candidate.slowness =
        target.health.slowness == 0 ? 1 : std::clamp(target.health.slowness, min_slowness, max_slowness);
    candidate.used_lately = key && was_used(core.affinity_history, target.identity, *key, warm_memory, now);
    candidate.round_trip = target.health.round_trip != milliseconds(0) ? target.health.round_trip
                           : near                                      ? near_round_trip
                                                                       : far_round_trip;
    candidate.region_rank = target.info.region == key_region ? 0 : near ? 1 : 2;
    candidate.joined_lately = now - target.first_seen < joining_time;
    candidate.doubtful = is_doubtful(target.health);
    return candidate;
}

// Drops targets of regions that may not take the request now, unless no others are left.
void keep_open_regions(node_core& core, const region_shares& shares, const std::string& key_region,
                       std::vector<target_ptr>& targets, instant now) {
    std::set<std::string> regions;
    for (const target_ptr& target : targets) {
        regions.insert(target->info.region);
    }
    const std::set<std::string> open = open_regions(core.shift_limiter, core.settings.shift_limits, regions,
                                                    shares, core.settings.region, key_region, now);
    if (!open.empty()) {
        std::erase_if(targets,
                      [&](const target_ptr& target) { return open.count(target->info.region) == 0; });
    }
}

} // namespace

bool takes_new_work(const node_core& core, const known_target& target, instant now) {
    return !target.info.draining && !(target.removed_at && *target.removed_at <= now) &&
           core.evacuated_zones.count(target.info.availability_zone) == 0 && !is_blocked(target.health, now);
}

target_selection select_target(node_core& core, const request_plan& plan,
                               const std::vector<target_ptr>& tried) {
    const instant now = now_of(core);
    const service_stats& learned = get_service_stats(core, plan.service);
    const service_times times = expected_service_times(learned);
    std::vector<target_ptr> targets;
    std::vector<placement_candidate> candidates;
    bool any_usable = false;
    for (const target_ptr& target : core.targets.of_service(plan.service)) {
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
    const auto left = std::chrono::duration_cast<milliseconds>(plan.objective_at - now);
    const bool explore = core.random() % exploring_share == 0;
    const bool explore_joined = core.random() % exploring_share_joined == 0;
    const placement placed = place_request(candidates, {plan.affinity, times.warm, times.cold, explore,
                                                        explore_joined, std::max(left, milliseconds(0))});
    if (!placed.index) {
        return {nullptr, placed.expected_finish, !any_usable};
    }
    const target_ptr& chosen = targets[*placed.index];
    note_region(core.shift_limiter, core.settings.shift_limits, chosen->info.region, now);
    if (plan.affinity) {
        note_use(core.affinity_history, chosen->identity, *plan.affinity, now);
    }
    if (is_cold(*chosen, now)) {
        note_sent_cold(chosen->cold, cold_terms_of(core, plan, *chosen), now);
    }
    return {chosen, placed.expected_finish, false, placed.reason};
}

} // namespace cassiaspan
