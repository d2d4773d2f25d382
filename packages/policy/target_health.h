// What a VM has learned of a target from its own requests: how fast it answers, how often it fails.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// How one request at a target ended.
enum class target_outcome {
    // A whole answer, also an error of the application.
    answered,
    // The target said that it did not run the request, since it is full.
    rejected,
    // No connection could be made: nothing was sent.
    unreachable,
    // The connection ended or the answer was malformed after the request was sent.
    failed
};

// Beliefs about one target.
struct target_health {
    // Moving average of the time of a run over the time that is usual for such a run, warm or cold, at the
    // service; 0 before the first.
    double service_time_ratio = 0;
    // Moving average of the round trip of opening a connection.
    milliseconds round_trip{};
    // Moving average of failures, 0 to 1.
    double failure_rate = 0;
    int consecutive_connect_failures = 0;
    // No request is sent before.
    instant backoff_until;
    auto operator<=>(const target_health&) const = default;
};

// The service time that is expected while nothing is known.
constexpr milliseconds default_service_time{300};

// Returns the time that a request took without its wait for a slot. `load` are the requests at the target,
// over its `slots`, when it was sent.
[[nodiscard]] milliseconds estimate_service_time(milliseconds latency, double load, double slots);

// Returns the moving average with a fresh time; 0 is an average without any.
[[nodiscard]] milliseconds moving_average(milliseconds previous, milliseconds newest);

// Time that a run took, without its wait for a slot, and that such a run usually takes at the service.
struct service_time_sample {
    milliseconds measured{};
    milliseconds expected{};
    auto operator<=>(const service_time_sample&) const = default;
};

// Notes how a request ended; `time` counts where it was answered.
void record_outcome(target_health& health, target_outcome outcome, const service_time_sample& time,
                    instant now);

// Notes the time that opening a connection took.
void record_connect_time(target_health& health, milliseconds time);

// Returns whether the target may be asked at all.
[[nodiscard]] bool is_backing_off(const target_health& health, instant now);

// Returns whether the target fails often, or is far slower than usual for its service.
[[nodiscard]] bool is_degraded(const target_health& health);

} // namespace cassiaspan
