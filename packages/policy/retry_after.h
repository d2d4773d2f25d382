// Retry-After: what refused callers get, and what targets ask for.
#pragma once

#include "clock.h"

#include <optional>
#include <string_view>

namespace cassiaspan {

// Bounds of the Retry-After.
constexpr milliseconds min_retry_after{150};
constexpr milliseconds max_retry_after{2000};

// Returns the Retry-After of a refusal: `expected`, the time in which the queue will have shrunk, raised to
// min_retry_after and multiplied by `jitter`, within both bounds. `jitter` varies around 1, so that refused
// callers do not all return at the same time.
[[nodiscard]] milliseconds choose_retry_after(milliseconds expected, double jitter);

// Returns the value of a Retry-After header: seconds, which may include a fraction. Longer times are cut to
// `longest`. Returns nullopt for anything else, such as a date.
[[nodiscard]] std::optional<milliseconds> parse_retry_after(std::string_view text, milliseconds longest);

} // namespace cassiaspan
