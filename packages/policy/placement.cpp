#include "placement.h"

#include "stable_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassiaspan {

namespace {

// Fraction of a target's slots that must be free for the target to take spilled requests: a cold run occupies
// as much slot time as several warm runs.
constexpr double spill_headroom = 0.3;
// Utilization of all candidates' slots up to which requests are spilled to cold targets with shared_homes.
constexpr double max_spill_utilization = 0.4;

// Targets whose expected latency exceeds that of the best one by up to this fraction share its requests. A
// wider margin sends more requests to slower targets; a narrower one leaves out targets whose speed reports
// differ only in age.
constexpr double near_equal_margin = 0.1;
// Cost in milliseconds of sending a request to another availability zone, with shared_homes. It decides
// between targets with free slots, whose other costs differ by few milliseconds, but is small compared to
// waiting for a slot.
constexpr double other_zone_cost_ms = 5;

// Returns the sort key of the key's target order: targets that are not degraded first, then by region rank,
// then by rendezvous hash.
auto preference_key(const placement_candidate& candidate, const placement_request& request) {
    return std::make_tuple(candidate.degraded, candidate.region_rank,
                           mix_hash(candidate.identity ^ mix_hash(request.key.value_or(0))),
                           candidate.identity);
}

// Estimated effect of sending the request to one target; times in milliseconds.
struct placement_estimate {
    double latency = 0;
    // The latency, plus the extra slot time of a cold run, which delays other requests.
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
    const bool is_in_other_zone = request.shared_homes && candidate.zone != request.own_zone;
    estimate.cost =
        estimate.latency + (is_warm ? 0 : cold - warm) + (is_in_other_zone ? other_zone_cost_ms : 0);
    estimate.has_free_slot = candidate.load < candidate.usable_slots.value_or(candidate.slots);
    return estimate;
}

// Returns the load in terms of slot time: the requests at a slow target occupy its slots for longer. A fast
// target has no more slots than it reports.
double effective_load(const placement_candidate& candidate) {
    return candidate.load * std::max(1.0, candidate.slowdown);
}

// Returns the effective load of all candidates over the slots of all candidates; may exceed 1.
double compute_utilization(const std::vector<placement_candidate>& candidates) {
    double load = 0;
    double slots = 0;
    for (const placement_candidate& candidate : candidates) {
        load += effective_load(candidate);
        slots += candidate.slots;
    }
    return load / std::max(1.0, slots);
}

// The targets that a key's requests use first. All VMs compute the same ones, unless they assess the health
// of a target differently.
struct key_homes {
    std::size_t primary = 0;
    // With shared_homes, the next target of the key's order that is in another availability zone than the
    // primary and not degraded; the second target of the order if there is none. Never one that is in a
    // farther region or more degraded than the primary.
    std::optional<std::size_t> secondary;
};

// Returns the first target of the key's order that is not degraded and in another availability zone of the
// primary's region; nullopt if there is none.
std::optional<std::size_t> find_home_in_other_zone(const std::vector<placement_candidate>& candidates,
                                                   const placement_request& request,
                                                   const placement_candidate& primary) {
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const placement_candidate& candidate = candidates[i];
        if (!candidate.degraded && candidate.region_rank == primary.region_rank &&
            candidate.zone != primary.zone &&
            (!found || preference_key(candidate, request) < preference_key(candidates[*found], request))) {
            found = i;
        }
    }
    return found;
}

// Returns the homes of the request's key. `candidates` must not be empty.
key_homes find_homes(const std::vector<placement_candidate>& candidates, const placement_request& request) {
    const auto is_preferred = [&](std::size_t left, std::size_t right) {
        return preference_key(candidates[left], request) < preference_key(candidates[right], request);
    };
    key_homes homes;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        if (is_preferred(i, homes.primary)) {
            homes.secondary = std::exchange(homes.primary, i);
        } else if (!homes.secondary || is_preferred(i, *homes.secondary)) {
            homes.secondary = i;
        }
    }
    const placement_candidate& primary = candidates[homes.primary];
    if (request.shared_homes) {
        const std::optional<std::size_t> other = find_home_in_other_zone(candidates, request, primary);
        homes.secondary = other ? other : homes.secondary;
    }
    if (homes.secondary && (!request.shared_homes || request.single_home ||
                            candidates[*homes.secondary].region_rank != primary.region_rank ||
                            candidates[*homes.secondary].degraded != primary.degraded)) {
        homes.secondary.reset();
    }
    return homes;
}

// Returns the target that takes the key's requests when its warm targets are full: the first target in the
// key's order, other than the primary, with enough free slots. All VMs thereby spill a key to the same
// target, which soon becomes warm for it. With shared_homes, returns none if the service is short of slots:
// the slot time that a cold run takes beyond a warm one would be missing for several warm runs.
std::optional<std::size_t> choose_spill(const std::vector<placement_candidate>& candidates,
                                        const placement_request& request,
                                        const placement_candidate& primary) {
    std::optional<std::size_t> chosen;
    if (request.shared_homes && compute_utilization(candidates) > max_spill_utilization) {
        return chosen;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool has_room = effective_load(candidates[i]) < candidates[i].slots * (1 - spill_headroom);
        if (has_room && candidates[i].identity != primary.identity &&
            (!chosen ||
             preference_key(candidates[i], request) < preference_key(candidates[*chosen], request))) {
            chosen = i;
        }
    }
    return chosen;
}

// What this VM knows about which candidates hold the object of the request's key.
struct key_warmth {
    key_homes homes;
    bool any_recently_used = false;
    bool is_primary_assumed_warm = false;
    // Both homes are warm because all VMs share the key's requests between them.
    bool are_homes_shared = false;
};

key_warmth assess_warmth(const std::vector<placement_candidate>& candidates,
                         const placement_request& request) {
    key_warmth warmth;
    warmth.homes = find_homes(candidates, request);
    warmth.any_recently_used =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const placement_candidate& each) { return each.recently_used; });
    warmth.is_primary_assumed_warm =
        request.assume_primary_warm ||
        (request.assume_joined_primary_warm && candidates[warmth.homes.primary].recently_joined) ||
        !warmth.any_recently_used;
    warmth.are_homes_shared = request.shared_homes && request.random.has_value();
    return warmth;
}

// Returns whether the candidate is believed to hold the object, not counting a primary target that is taken
// as warm only to make it so.
bool holds_object(const key_warmth& warmth, const std::vector<placement_candidate>& candidates,
                  const placement_request& request, std::size_t index) {
    if (!request.key || candidates[index].recently_used) {
        return true;
    }
    const bool is_home = index == warmth.homes.primary || index == warmth.homes.secondary;
    return is_home && !candidates[index].recently_joined &&
           (warmth.are_homes_shared || !warmth.any_recently_used);
}

// Returns whether the candidate is assessed by the service time of a warm run.
bool is_taken_as_warm(const key_warmth& warmth, const std::vector<placement_candidate>& candidates,
                      const placement_request& request, std::size_t index) {
    const bool is_assumed_warm = index == warmth.homes.primary
                                     ? warmth.is_primary_assumed_warm
                                     : index == warmth.homes.secondary && !warmth.any_recently_used;
    return is_assumed_warm || holds_object(warmth, candidates, request, index);
}

// Returns the less loaded one of two targets drawn at random from those that are nearly as good as `best`:
// equally warm, in a region of the same rank, and with nearly the same expected latency. The same target may
// be drawn twice, so that requests are shared even if there are only two targets and all VMs see the same
// loads.
std::size_t share_among_equals(const key_warmth& warmth, const std::vector<placement_candidate>& candidates,
                               const placement_request& request, std::size_t best,
                               const placement_estimate& best_estimate) {
    const auto is_in_own_zone = [&request](const placement_candidate& candidate) {
        return candidate.zone == request.own_zone;
    };
    std::vector<std::size_t> equals;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const placement_estimate estimate = estimate_placement(candidates[i], request, true);
        if (holds_object(warmth, candidates, request, i) &&
            candidates[i].degraded == candidates[best].degraded &&
            candidates[i].region_rank == candidates[best].region_rank &&
            (!request.shared_homes || is_in_own_zone(candidates[i]) == is_in_own_zone(candidates[best])) &&
            estimate.has_free_slot == best_estimate.has_free_slot &&
            estimate.latency <= best_estimate.latency * (1 + near_equal_margin)) {
            equals.push_back(i);
        }
    }
    const auto relative_load = [&](std::size_t index) {
        return effective_load(candidates[index]) / candidates[index].slots;
    };
    constexpr int half_of_bits = 32;
    const std::size_t first = equals[(*request.random >> half_of_bits) % equals.size()];
    const std::size_t second = equals[static_cast<std::uint32_t>(*request.random) % equals.size()];
    return relative_load(second) < relative_load(first) ? second : first;
}

} // namespace

const char* to_string(placement_reason reason) {
    switch (reason) {
    case placement_reason::primary:
        return "primary";
    case placement_reason::secondary:
        return "secondary";
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
    const key_warmth warmth = assess_warmth(candidates, request);
    const std::size_t primary = warmth.homes.primary;
    const std::optional<std::size_t> spill = choose_spill(candidates, request, candidates[primary]);
    std::optional<std::size_t> best;
    placement_estimate best_estimate;
    bool is_best_warm = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool is_warm = is_taken_as_warm(warmth, candidates, request, i);
        const placement_estimate estimate = estimate_placement(candidates[i], request, is_warm);
        if (!is_warm && primary != i && spill != i) {
            continue;
        }
        const auto rank = [&](std::size_t index, const placement_estimate& each) {
            const bool is_unusable = candidates[index].usable_slots && !each.has_free_slot;
            return std::make_tuple(is_unusable, candidates[index].degraded, each.cost,
                                   preference_key(candidates[index], request));
        };
        if (!best || rank(i, estimate) < rank(*best, best_estimate)) {
            best = i;
            best_estimate = estimate;
            is_best_warm = is_warm;
        }
    }
    // The loop always compares the primary target, so `best` is set.
    if (request.random && holds_object(warmth, candidates, request, *best)) {
        best = share_among_equals(warmth, candidates, request, *best, best_estimate);
        best_estimate = estimate_placement(candidates[*best], request, true);
        is_best_warm = true;
    }
    const auto latency = milliseconds(static_cast<std::int64_t>(best_estimate.latency));
    const bool may_queue = !candidates[*best].usable_slots;
    const bool is_late_cold_run = request.refuse_late_cold_runs && !is_best_warm &&
                                  latency > request.max_latency &&
                                  request.warm_service_time <= request.max_latency;
    const bool is_acceptable =
        (best_estimate.has_free_slot && !is_late_cold_run) || (may_queue && latency <= request.max_latency);
    const placement_reason reason = candidates[*best].recently_used  ? placement_reason::known_warm
                                    : best == primary                ? placement_reason::primary
                                    : best == warmth.homes.secondary ? placement_reason::secondary
                                                                     : placement_reason::spill;
    return {is_acceptable ? best : std::nullopt, latency, reason};
}

} // namespace cassiaspan
