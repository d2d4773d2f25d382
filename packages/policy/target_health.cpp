#include "target_health.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Weight of the newest request in the moving averages, 0 to 1.
constexpr double service_time_weight = 0.15;
constexpr double failure_weight = 0.15;
// Above this failure rate, other targets are preferred.
constexpr double degraded_failure_rate = 0.3;
// Above this ratio of measured to expected service time, other targets are preferred.
constexpr double degraded_service_time_ratio = 2.5;
// Backoff after the first failed connection attempt; it doubles with each consecutive failure, up to the
// number of doublings below.
constexpr milliseconds initial_backoff{250};
constexpr int max_backoff_doublings = 3;

milliseconds weighted_average(milliseconds previous, milliseconds newest, double weight) {
    if (previous == milliseconds(0)) {
        return std::max(newest, milliseconds(1));
    }
    const double blended =
        static_cast<double>(previous.count()) * (1 - weight) + static_cast<double>(newest.count()) * weight;
    return milliseconds(std::max<std::int64_t>(1, std::lround(blended)));
}

// Adds the ratio of one run to the average of the target. The weight of early runs is that of a plain mean,
// so that the median's delay of one run does not add to a slow start of the average.
void add_service_time_ratio(target_health& health, double ratio) {
    const auto [low, high] = std::minmax(health.last_ratios[0], health.last_ratios[1]);
    const double median = std::clamp(ratio, low, high);
    health.last_ratios = {health.last_ratios[1], ratio};
    if (health.averaged_runs * service_time_weight < 1) {
        ++health.averaged_runs;
    }
    const double weight = std::max(service_time_weight, 1.0 / health.averaged_runs);
    health.service_time_ratio = health.service_time_ratio * (1 - weight) + median * weight;
}

} // namespace

milliseconds estimate_service_time(milliseconds latency, double load, double slots) {
    // With `load` requests on `slots` slots, the latency is about load / slots service times.
    const double queue_rounds = std::max(1.0, load / std::max(1.0, slots));
    return milliseconds(std::lround(static_cast<double>(latency.count()) / queue_rounds));
}

milliseconds moving_average(milliseconds previous, milliseconds newest) {
    return weighted_average(previous, newest, service_time_weight);
}

void record_outcome(target_health& health, target_outcome outcome, const service_time_sample& time,
                    instant now) {
    if (outcome == target_outcome::answered && time.expected > milliseconds(0)) {
        add_service_time_ratio(health, static_cast<double>(time.measured.count()) /
                                           static_cast<double>(time.expected.count()));
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
