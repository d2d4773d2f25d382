#include "placement.h"

#include "stable_hash.h"

#include <algorithm>
#include <tuple>

namespace cassiaspan {

namespace {

// Part of a target's slots that must be free for a request that the target is not warm for: such a request
// takes the slots of several others.
constexpr double spill_headroom = 0.3;

// The key's order of all targets: sound before doubtful, the key's region before others, then by the key's
// weights.
auto preference_key(const placement_candidate& candidate, const placement_request& request) {
    return std::make_tuple(candidate.degraded, candidate.region_rank,
                           mix_hash(candidate.identity ^ mix_hash(request.key.value_or(0))),
                           candidate.identity);
}

// What sending the request to one target would mean, in milliseconds.
struct placement_estimate {
    double latency = 0;
    // The finish, and the time that other requests lose by it.
    double cost = 0;
    bool has_free_slot = false;
};

placement_estimate estimate_placement(const placement_candidate& candidate, const placement_request& request,
                                      bool is_warm) {
    const auto warm = static_cast<double>(request.warm_service_time.count());
    const auto cold =
        static_cast<double>(std::max(request.warm_service_time, request.cold_service_time).count());
    const double queued = std::max(0.0, candidate.load - candidate.slots + 1);
    const double service_time = (is_warm ? warm : cold) * candidate.service_time_ratio;
    placement_estimate estimate;
    estimate.latency = static_cast<double>(candidate.round_trip.count()) + service_time +
                       queued / candidate.slots * warm * candidate.service_time_ratio;
    estimate.cost = estimate.latency + (is_warm ? 0 : cold - warm);
    estimate.has_free_slot = candidate.load < candidate.slots;
    return estimate;
}

// Returns the target that takes the key's requests when its warm targets are full: the first one in the key's
// order with room to spare, so that all VMs spill a key to the same target and it is warm there soon.
std::optional<std::size_t> choose_spill(const std::vector<placement_candidate>& candidates,
                                        const placement_request& request,
                                        const placement_candidate& primary) {
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool has_room = candidates[i].load < candidates[i].slots * (1 - spill_headroom);
        if (has_room && candidates[i].identity != primary.identity &&
            (!chosen ||
             preference_key(candidates[i], request) < preference_key(candidates[*chosen], request))) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace

const char* to_string(placement_reason reason) {
    switch (reason) {
    case placement_reason::primary:
        return "primary";
    case placement_reason::known_warm:
        return "known_warm";
    case placement_reason::spill:
        return "spill";
    }
    return "unknown";
}

placement place_request(const std::vector<placement_candidate>& candidates,
                        const placement_request& request) {
    if (candidates.empty()) {
        return {};
    }
    const auto is_preferred = [&](const placement_candidate& left, const placement_candidate& right) {
        return preference_key(left, request) < preference_key(right, request);
    };
    const auto primary = std::min_element(candidates.begin(), candidates.end(), is_preferred);
    const bool any_recently_used =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const placement_candidate& each) { return each.recently_used; });
    const bool is_primary_assumed_warm = request.assume_primary_warm ||
                                         (request.assume_joined_primary_warm && primary->recently_joined) ||
                                         !any_recently_used;
    const std::optional<std::size_t> spill = choose_spill(candidates, request, *primary);
    std::optional<std::size_t> best;
    placement_estimate best_estimate;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool is_primary = primary - candidates.begin() == static_cast<std::ptrdiff_t>(i);
        const bool is_warm =
            !request.key || candidates[i].recently_used || (is_primary && is_primary_assumed_warm);
        const placement_estimate estimate = estimate_placement(candidates[i], request, is_warm);
        if (!is_warm && !is_primary && spill != i) {
            continue;
        }
        const auto rank = [&](std::size_t index, const placement_estimate& each) {
            return std::make_tuple(candidates[index].degraded, each.cost,
                                   preference_key(candidates[index], request));
        };
        if (!best || rank(i, estimate) < rank(*best, best_estimate)) {
            best = i;
            best_estimate = estimate;
        }
    }
    // The primary target is always among those that were compared.
    const auto latency = milliseconds(static_cast<std::int64_t>(best_estimate.latency));
    const bool is_acceptable = best_estimate.has_free_slot || latency <= request.max_latency;
    const bool is_primary = best == static_cast<std::size_t>(primary - candidates.begin());
    const placement_reason reason = candidates[*best].recently_used ? placement_reason::known_warm
                                    : is_primary                    ? placement_reason::primary
                                                                    : placement_reason::spill;
    return {is_acceptable ? best : std::nullopt, latency, reason};
}

} // namespace cassiaspan
