#include "connection_pressure.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Shares of the limit from which idle connections are kept for a shorter time.
constexpr double some_shortage = 0.25;
constexpr double great_shortage = 0.5;
constexpr milliseconds short_idle{5000};
constexpr milliseconds shortest_idle{2000};

} // namespace

idle_terms choose_idle_terms(std::size_t open, std::size_t limit, milliseconds configured) {
    const double share = static_cast<double>(open) / static_cast<double>(std::max<std::size_t>(limit, 1));
    if (share < some_shortage) {
        return {configured, false};
    }
    return {std::min(configured, share < great_shortage ? short_idle : shortest_idle), true};
}

} // namespace cassiaspan
