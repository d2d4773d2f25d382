// The time after which a refused caller may return.
#pragma once

#include "clock.h"

namespace cassiaspan {

// Bounds of the Retry-After.
constexpr milliseconds min_retry_after{150};
constexpr milliseconds max_retry_after{2000};

// Returns the Retry-After of a refusal: `expected`, the time in which the queue will have shrunk, raised to
// min_retry_after and multiplied by `jitter`, within both bounds. `jitter` varies around 1, so that refused
// callers do not all return at the same time.
[[nodiscard]] milliseconds choose_retry_after(milliseconds expected, double jitter);

} // namespace cassiaspan
