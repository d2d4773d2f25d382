#include "cold_pacing.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// How long a turn lasts. VMs whose turns have begun within this time may send together: well below a second,
// as targets count requests per second.
constexpr fractional_seconds max_slot_delay{0.4};

// The present turn, counted from the clock's beginning, and the time since it began.
struct time_slot {
    std::int64_t number = 0;
    fractional_seconds elapsed{};
};

time_slot current_time_slot(const cold_pacing_params& params, instant now) {
    constexpr double min_rate = 0.01;
    const fractional_seconds interval(static_cast<double>(std::max<std::size_t>(params.vm_count, 1)) /
                                      std::max(min_rate, params.requests_per_second));
    const double elapsed_intervals = fractional_seconds(now.time_since_epoch()) / interval - params.phase;
    const double number = std::floor(elapsed_intervals);
    return {static_cast<std::int64_t>(number), (elapsed_intervals - number) * interval};
}

} // namespace

bool may_send_to_cold_target(const cold_pacing& pacing, const cold_pacing_params& params, instant now) {
    const time_slot current = current_time_slot(params, now);
    return current.number != pacing.last_used_slot && current.elapsed < max_slot_delay;
}

void record_sent_to_cold_target(cold_pacing& pacing, const cold_pacing_params& params, instant now) {
    pacing.last_used_slot = current_time_slot(params, now).number;
}

} // namespace cassiaspan
