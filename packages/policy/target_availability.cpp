#include "target_availability.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Limits of what the jitter adds to a pause.
constexpr int pause_jitter_divisor = 10;
constexpr milliseconds max_pause_jitter{500};

} // namespace

void record_leaving(target_availability& availability, instant now) {
    if (!availability.leaving_since) {
        availability.leaving_since = now;
    }
}

bool is_leaving(const target_availability& availability) {
    return availability.leaving_since.has_value();
}

bool may_use_while_leaving(const target_availability& availability, milliseconds drain_time, instant now) {
    return availability.leaving_since && now - *availability.leaving_since < drain_time / 2;
}

void record_pause(target_availability& availability, milliseconds time, double jitter, instant now) {
    const milliseconds max_extension = std::min(time / pause_jitter_divisor, max_pause_jitter);
    const auto extension =
        std::chrono::duration_cast<milliseconds>(jitter * std::chrono::duration<double>(max_extension));
    availability.paused_until = std::max(availability.paused_until, now + time + extension);
}

bool is_paused(const target_availability& availability, instant now) {
    return now < availability.paused_until;
}

} // namespace cassiaspan
