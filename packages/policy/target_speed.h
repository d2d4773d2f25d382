// How fast a target's machine works at present, as the target reports it in its responses.
//
// Targets share their machines with others, so the figure changes many times a second. It therefore loses
// weight with its age and is kept apart from the target's usual speed (target_health.h), which is averaged
// over minutes. Service times are corrected by the figure before they enter an average. All functions are
// constant-time.
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace cassiaspan {

// How long work takes on the target's machine, in percent of the usual time, and when the response that said
// so arrived.
struct speed_report {
    std::uint32_t percent = 100;
    instant reported_at;
    auto operator<=>(const speed_report&) const = default;
};

// Largest figure that a target may report, in percent; 1 is the smallest. Others are ignored
// (docs/LOAD.md).
constexpr std::uint32_t max_speed_percent = 10'000;

// Returns how many times as long as usual work takes with this figure. The result is bounded, so that a
// target with a wrong figure can distort the averages only to a limited extent.
[[nodiscard]] double slowdown_of(std::uint32_t percent);

// Returns the slowdown to expect now: that of the report, weighted down exponentially with its age towards 1.
// Returns 1 without a report.
[[nodiscard]] double believed_slowdown(const std::optional<speed_report>& report, instant now);

// Returns the slowdown of the report as it was received, or nothing if there is no report or it is older than
// its time constant.
[[nodiscard]] std::optional<double> fresh_slowdown(const std::optional<speed_report>& report, instant now);

// Returns the service time that the run would have had at the target's usual speed. `at_end` is the slowdown
// that the run's response reported; without it, the time is returned unchanged. `at_start` is the slowdown
// when the request was sent, if it was known. At least 1 ms.
[[nodiscard]] milliseconds usual_service_time(milliseconds measured, const std::optional<double>& at_start,
                                              const std::optional<double>& at_end);

// Returns the slowdown as a whole number of percent, for logs and metrics.
[[nodiscard]] std::int64_t to_percent(double slowdown);

} // namespace cassiaspan
