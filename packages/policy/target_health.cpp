#include "target_health.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Weight of the newest request in the moving averages.
constexpr double latency_weight = 0.15;
constexpr double failure_weight = 0.15;
// Share of failed requests from which other targets are preferred.
constexpr double doubtful_failure_share = 0.3;
// A target this many times slower than usual for its service is preferred less.
constexpr double doubtful_slowness = 2.5;
// An unreachable target is left alone for this time, doubled with each further failure.
constexpr milliseconds first_block{250};
constexpr int max_block_doublings = 3;

milliseconds average(milliseconds old, milliseconds fresh, double weight) {
    if (old == milliseconds(0)) {
        return std::max(fresh, milliseconds(1));
    }
    const double mixed =
        static_cast<double>(old.count()) * (1 - weight) + static_cast<double>(fresh.count()) * weight;
    return milliseconds(std::max<std::int64_t>(1, std::lround(mixed)));
}

} // namespace

milliseconds time_without_waiting(milliseconds latency, double load, double slots) {
    // A request that had to wait took its service time times the rounds before it.
    const double rounds = std::max(1.0, load / std::max(1.0, slots));
    return milliseconds(std::lround(static_cast<double>(latency.count()) / rounds));
}

milliseconds average_time(milliseconds old, milliseconds fresh) {
    return average(old, fresh, latency_weight);
}

void note_outcome(target_health& health, target_outcome outcome, const run_time& time, instant now) {
    if (outcome == target_outcome::answered && time.usual > milliseconds(0)) {
        const double ratio = static_cast<double>(time.own.count()) / static_cast<double>(time.usual.count());
        health.slowness =
            health.slowness == 0 ? ratio : health.slowness * (1 - latency_weight) + ratio * latency_weight;
    }
    const bool bad = outcome == target_outcome::unreachable || outcome == target_outcome::failed;
    health.failure_share = health.failure_share * (1 - failure_weight) + (bad ? failure_weight : 0);
    if (outcome != target_outcome::unreachable) {
        health.unreachable_in_row = 0;
        return;
    }
    const int doublings = std::min(health.unreachable_in_row, max_block_doublings);
    health.blocked_until = now + first_block * (1 << doublings);
    ++health.unreachable_in_row;
}

void note_connect_time(target_health& health, milliseconds time) {
    constexpr double weight = 0.3;
    health.round_trip = average(health.round_trip, time, weight);
}

bool is_blocked(const target_health& health, instant now) {
    return now < health.blocked_until;
}

bool is_doubtful(const target_health& health) {
    return health.failure_share > doubtful_failure_share || health.slowness > doubtful_slowness;
}

} // namespace cassiaspan
