#include "target_health.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Weight of the newest request in the moving averages.
constexpr double service_time_weight = 0.15;
constexpr double failure_weight = 0.15;
// Share of failed requests from which other targets are preferred.
constexpr double degraded_failure_rate = 0.3;
// A target this many times slower than usual for its service is preferred less.
constexpr double degraded_service_time_ratio = 2.5;
// An unreachable target is left alone for this time, doubled with each further failure.
constexpr milliseconds initial_backoff{250};
constexpr int max_backoff_doublings = 3;

milliseconds weighted_average(milliseconds previous, milliseconds newest, double weight) {
    if (previous == milliseconds(0)) {
        return std::max(newest, milliseconds(1));
    }
    const double mixed =
        static_cast<double>(previous.count()) * (1 - weight) + static_cast<double>(newest.count()) * weight;
    return milliseconds(std::max<std::int64_t>(1, std::lround(mixed)));
}

} // namespace

milliseconds estimate_service_time(milliseconds latency, double load, double slots) {
    // A request that had to wait took its service time times the rounds before it.
    const double queue_rounds = std::max(1.0, load / std::max(1.0, slots));
    return milliseconds(std::lround(static_cast<double>(latency.count()) / queue_rounds));
}

milliseconds moving_average(milliseconds previous, milliseconds newest) {
    return weighted_average(previous, newest, service_time_weight);
}

void record_outcome(target_health& health, target_outcome outcome, const service_time_sample& time,
                    instant now) {
    if (outcome == target_outcome::answered && time.expected > milliseconds(0)) {
        const double ratio =
            static_cast<double>(time.measured.count()) / static_cast<double>(time.expected.count());
        health.service_time_ratio =
            health.service_time_ratio == 0
                ? ratio
                : health.service_time_ratio * (1 - service_time_weight) + ratio * service_time_weight;
    }
    const bool is_failure = outcome == target_outcome::unreachable || outcome == target_outcome::failed;
    health.failure_rate = health.failure_rate * (1 - failure_weight) + (is_failure ? failure_weight : 0);
    if (outcome != target_outcome::unreachable) {
        health.consecutive_connect_failures = 0;
        return;
    }
    const int doublings = std::min(health.consecutive_connect_failures, max_backoff_doublings);
    health.backoff_until = now + initial_backoff * (1 << doublings);
    ++health.consecutive_connect_failures;
}

void record_connect_time(target_health& health, milliseconds time) {
    constexpr double weight = 0.3;
    health.round_trip = weighted_average(health.round_trip, time, weight);
}

bool is_backing_off(const target_health& health, instant now) {
    return now < health.backoff_until;
}

bool is_degraded(const target_health& health) {
    return health.failure_rate > degraded_failure_rate ||
           health.service_time_ratio > degraded_service_time_ratio;
}

} // namespace cassiaspan
