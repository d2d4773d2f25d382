#include "connection_pressure.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Shares of the limit from which idle connections are kept for a shorter time.
constexpr double moderate_pressure = 0.25;
constexpr double high_pressure = 0.5;
constexpr milliseconds moderate_pressure_timeout{5000};
constexpr milliseconds high_pressure_timeout{2000};

} // namespace

idle_policy choose_idle_policy(std::size_t open_connections, std::size_t max_connections,
                               milliseconds configured_timeout) {
    const double utilization = static_cast<double>(open_connections) /
                               static_cast<double>(std::max<std::size_t>(max_connections, 1));
    if (utilization < moderate_pressure) {
        return {configured_timeout, false};
    }
    return {std::min(configured_timeout,
                     utilization < high_pressure ? moderate_pressure_timeout : high_pressure_timeout),
            true};
}

} // namespace cassiaspan
