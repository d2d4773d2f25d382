#include "target_speed.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// Age at which a report has lost 63 % of its weight. Speeds change many times a second (docs/LOAD.md).
constexpr milliseconds report_time_constant{200};

// Bounds of a slowdown. The lower one at most doubles a corrected service time, which stays below the ratio
// at which a target counts as degraded (target_health.cpp); the upper one is the largest service time ratio
// that target selection uses.
constexpr double min_slowdown = 0.5;
constexpr double max_slowdown = 8;

} // namespace

double slowdown_of(std::uint32_t percent) {
    return std::clamp(percent / 100.0, min_slowdown, max_slowdown);
}

double believed_slowdown(const std::optional<speed_report>& report, instant now) {
    if (!report) {
        return 1;
    }
    const std::chrono::duration<double> age = std::max(now - report->reported_at, nanoseconds(0));
    const std::chrono::duration<double> time_constant = report_time_constant;
    return 1 + (slowdown_of(report->percent) - 1) * std::exp(-age / time_constant);
}

std::optional<double> fresh_slowdown(const std::optional<speed_report>& report, instant now) {
    if (!report || now - report->reported_at > report_time_constant) {
        return std::nullopt;
    }
    return slowdown_of(report->percent);
}

milliseconds usual_service_time(milliseconds measured, const std::optional<double>& at_start,
                                const std::optional<double>& at_end) {
    if (!at_end) {
        return measured;
    }
    const double slowdown = at_start ? (*at_start + *at_end) / 2 : *at_end;
    const double usual = static_cast<double>(measured.count()) / slowdown;
    return milliseconds(std::max<std::int64_t>(1, std::lround(usual)));
}

std::int64_t to_percent(double slowdown) {
    return std::lround(slowdown * 100);
}

} // namespace cassiaspan
