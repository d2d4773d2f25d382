// Passive health checking of a target: its speed and failure rate as measured by this VM's own requests.
#pragma once

#include "clock.h"

#include <array>
#include <compare>
#include <cstddef>

namespace cassiaspan {

// How one request at a target ended.
enum class target_outcome {
    // A complete response, including an application error.
    answered,
    // The target reported that it did not run the request because it is at capacity.
    rejected,
    // The connection could not be opened, so nothing was sent.
    unreachable,
    // After the request was sent, the connection closed or the response was malformed.
    failed
};

// Health statistics of one target.
struct target_health {
    // Moving average of measured over expected service time. The expected time is the service's average for
    // the same kind of run, warm or cold. 0 before the first measurement. The average is taken over the
    // median of each three successive runs, so that a single run that needs several times the usual work has
    // no influence.
    double service_time_ratio = 0;
    // The ratios of the last two runs, the older one first; 1 before they were measured.
    std::array<double, 2> last_ratios{1, 1};
    // Number of runs in the average, up to the number from which on its weights are constant.
    int averaged_runs = 0;
    // Estimated network round trip: moving average of the time to open a connection; 0 before the first one.
    milliseconds round_trip{};
    // Moving average of the fraction of requests that failed, 0 to 1.
    double failure_rate = 0;
    int consecutive_connect_failures = 0;
    // End of the backoff: no request is sent before.
    instant backoff_until;
    auto operator<=>(const target_health&) const = default;
};

// The service time that is assumed until one was measured.
constexpr milliseconds default_service_time{300};

// Estimates the service time of a request: `latency` without the time queued for a slot. `load` is the number
// of requests at the target when the request was sent, `slots` the number that the target runs concurrently.
[[nodiscard]] milliseconds estimate_service_time(milliseconds latency, double load, double slots);

// Returns the exponential moving average after the value `newest`. A `previous` average of 0 means that there
// is none yet. The result is at least 1 ms.
[[nodiscard]] milliseconds moving_average(milliseconds previous, milliseconds newest);

// The service time of one run, without the time queued for a slot, and the service's average for such a run.
struct service_time_sample {
    milliseconds measured{};
    milliseconds expected{};
    auto operator<=>(const service_time_sample&) const = default;
};

// Records how a request ended. `time` is used only if the outcome is `answered`.
void record_outcome(target_health& health, target_outcome outcome, const service_time_sample& time,
                    instant now);

// Records the time it took to open a connection.
void record_connect_time(target_health& health, milliseconds time);

// Returns whether the target is in backoff after failed connection attempts, so no request may be sent to it.
[[nodiscard]] bool is_backing_off(const target_health& health, instant now);

// Returns whether the target fails often or is much slower than its service's average.
[[nodiscard]] bool is_degraded(const target_health& health);

} // namespace cassiaspan
