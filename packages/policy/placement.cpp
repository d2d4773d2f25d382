#include "placement.h"

#include "stable_hash.h"

#include <algorithm>
#include <tuple>

namespace cassiaspan {

namespace {

// Part of a target's slots that must be free for a request that the target is not warm for: such a request
// takes the slots of several others.
constexpr double spare_part = 0.3;

// The key's order of all targets: sound before doubtful, the key's region before others, then by the key's
// weights.
auto order_of(const placement_candidate& candidate, const placement_request& request) {
    return std::make_tuple(candidate.doubtful, candidate.region_rank,
                           mix_hash(candidate.identity ^ mix_hash(request.key.value_or(0))),
                           candidate.identity);
}

// What sending the request to one target would mean, in milliseconds.
struct prospect {
    double finish = 0;
    // The finish, and the time that other requests lose by it.
    double cost = 0;
    bool has_free_slot = false;
};

prospect look_at(const placement_candidate& candidate, const placement_request& request, bool is_warm) {
    const auto warm = static_cast<double>(request.warm_time.count());
    const auto cold = static_cast<double>(std::max(request.warm_time, request.cold_time).count());
    const double waiting = std::max(0.0, candidate.load - candidate.slots + 1);
    const double own = (is_warm ? warm : cold) * candidate.slowness;
    prospect seen;
    seen.finish = static_cast<double>(candidate.round_trip.count()) + own +
                  waiting / candidate.slots * warm * candidate.slowness;
    seen.cost = seen.finish + (is_warm ? 0 : cold - warm);
    seen.has_free_slot = candidate.load < candidate.slots;
    return seen;
}

// Returns the target that takes the key's requests when its warm targets are full: the first one in the key's
// order with room to spare, so that all VMs spill a key to the same target and it is warm there soon.
std::optional<std::size_t> choose_spill(const std::vector<placement_candidate>& candidates,
                                        const placement_request& request,
                                        const placement_candidate& primary) {
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool has_room = candidates[i].load < candidates[i].slots * (1 - spare_part);
        if (has_room && candidates[i].identity != primary.identity &&
            (!first || order_of(candidates[i], request) < order_of(candidates[*first], request))) {
            first = i;
        }
    }
    return first;
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
    const auto comes_first = [&](const placement_candidate& left, const placement_candidate& right) {
        return order_of(left, request) < order_of(right, request);
    };
    const auto primary = std::min_element(candidates.begin(), candidates.end(), comes_first);
    const bool any_used = std::any_of(candidates.begin(), candidates.end(),
                                      [](const placement_candidate& each) { return each.used_lately; });
    const bool trust_primary =
        request.explore || (request.explore_joined && primary->joined_lately) || !any_used;
    const std::optional<std::size_t> spill = choose_spill(candidates, request, *primary);
    std::optional<std::size_t> best;
    prospect best_seen;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool is_primary = primary - candidates.begin() == static_cast<std::ptrdiff_t>(i);
        const bool is_warm = !request.key || candidates[i].used_lately || (is_primary && trust_primary);
        const prospect seen = look_at(candidates[i], request, is_warm);
        if (!is_warm && !is_primary && spill != i) {
            continue;
        }
        const auto rank = [&](std::size_t index, const prospect& each) {
            return std::make_tuple(candidates[index].doubtful, each.cost,
                                   order_of(candidates[index], request));
        };
        if (!best || rank(i, seen) < rank(*best, best_seen)) {
            best = i;
            best_seen = seen;
        }
    }
    // The primary target is always among those that were compared.
    const auto finish = milliseconds(static_cast<std::int64_t>(best_seen.finish));
    const bool is_useful = best_seen.has_free_slot || finish <= request.patience;
    const bool is_primary = best == static_cast<std::size_t>(primary - candidates.begin());
    const placement_reason reason = candidates[*best].used_lately ? placement_reason::known_warm
                                    : is_primary                  ? placement_reason::primary
                                                                  : placement_reason::spill;
    return {is_useful ? best : std::nullopt, finish, reason};
}

} // namespace cassiaspan
