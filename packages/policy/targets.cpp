#include "targets.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Part of its slots that a new target may use at the start of the slow-start period.
constexpr double slow_start_min_ratio = 0.2;
// Services with more targets than this are sampled instead of scanned. With 32 samples, two targets of the
// own region are found in most fleets that span nine regions.
constexpr std::size_t max_scanned_targets = 64;
constexpr std::size_t sample_count = 32;

bool is_ejected(const target_state& state, instant now) {
    return state.ejected_until && *state.ejected_until > now;
}

double usable_slots(const service_config& service, const target_state& state, instant now) {
    const double ramp = std::chrono::duration<double>(now - state.slow_start_from) / slow_start_duration;
    const auto slots = static_cast<double>(service.slots_per_target);
    return std::max(1.0, slots * std::clamp(ramp, slow_start_min_ratio, 1.0));
}

bool is_tried(const target_choice_input& input, std::size_t index) {
    return std::find(input.tried.begin(), input.tried.end(), index) != input.tried.end();
}

bool is_eligible(const target_choice_input& input, std::size_t index) {
    return !is_draining(input.service.targets[index], input.wall_now) &&
           !is_ejected(input.states[index], input.now) && !is_tried(input, index);
}

bool has_free_slot(const target_choice_input& input, std::size_t index) {
    const target_state& state = input.states[index];
    return estimate_load(state, input.now) < usable_slots(input.service, state, input.now) &&
           state.in_flight < input.service.max_connections_per_target;
}

double relative_load(const target_choice_input& input, std::size_t index) {
    const target_state& state = input.states[index];
    return estimate_load(state, input.now) / usable_slots(input.service, state, input.now);
}

std::size_t pick_less_loaded(const target_choice_input& input, const std::vector<std::size_t>& candidates,
                             random_engine& random) {
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const std::size_t first = candidates[draw(random)];
    const std::size_t second = candidates[draw(random)];
    return relative_load(input, second) < relative_load(input, first) ? second : first;
}

// Samples random targets and returns the less loaded of the first two eligible local ones with a free slot,
// or nullopt if there are fewer than two.
std::optional<std::size_t> sample_local_target(const target_choice_input& input, random_engine& random) {
    std::uniform_int_distribution<std::size_t> draw(0, input.states.size() - 1);
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < sample_count; ++i) {
        const std::size_t index = draw(random);
        const bool is_local = input.service.targets[index].region == input.vm_location.region;
        if (!is_local || !is_eligible(input, index) || !has_free_slot(input, index)) {
            continue;
        }
        if (first) {
            return relative_load(input, index) < relative_load(input, *first) ? index : *first;
        }
        first = index;
    }
    return std::nullopt;
}

// Scans all targets and returns the less loaded of two random local ones with a free slot, or else of two
// random remote ones.
target_choice scan_targets(const target_choice_input& input, random_engine& random) {
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    bool any_eligible = false;
    for (std::size_t i = 0; i < input.states.size(); ++i) {
        if (!is_eligible(input, i)) {
            continue;
        }
        any_eligible = true;
        if (has_free_slot(input, i)) {
            const bool is_local = input.service.targets[i].region == input.vm_location.region;
            (is_local ? local : remote).push_back(i);
        }
    }
    const auto& candidates = local.empty() ? remote : local;
    if (candidates.empty()) {
        return {std::nullopt, any_eligible ? no_target_reason::all_busy : no_target_reason::none_available};
    }
    return {pick_less_loaded(input, candidates, random), no_target_reason::none_available};
}

} // namespace

double estimate_load(const target_state& state, instant now) {
    const nanoseconds age = now - state.peers_reported_at;
    const double peer_report_weight =
        std::clamp(1.0 - std::chrono::duration<double>(age) / load_report_lifetime, 0.0, 1.0);
    return static_cast<double>(state.in_flight) +
           peer_report_weight * static_cast<double>(state.peers_in_flight);
}

bool is_draining(const target_config& target, std::chrono::system_clock::time_point wall_now) {
    return target.drain_starts_at && *target.drain_starts_at <= wall_now;
}

target_choice choose_target(const target_choice_input& input, random_engine& random) {
    if (input.states.size() > max_scanned_targets) {
        if (const auto sampled = sample_local_target(input, random)) {
            return {sampled, no_target_reason::none_available};
        }
    }
    return scan_targets(input, random);
}

bool record_outcome(std::vector<target_state>& states, std::size_t index, bool success, instant now) {
    target_state& state = states[index];
    if (success) {
        state.consecutive_failures = 0;
        return false;
    }
    ++state.consecutive_failures;
    if (state.consecutive_failures < ejection_failure_threshold || is_ejected(state, now)) {
        return false;
    }
    const auto ejected = static_cast<std::size_t>(std::count_if(
        states.begin(), states.end(), [now](const target_state& other) { return is_ejected(other, now); }));
    if (ejected >= std::max<std::size_t>(1, states.size() / max_ejected_divisor)) {
        return false;
    }
    state.ejected_until = now + ejection_duration;
    state.consecutive_failures = 0;
    state.slow_start_from = *state.ejected_until;
    return true;
}

} // namespace cassiaspan
