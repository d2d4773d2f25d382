#include "retry_after.h"

#include <algorithm>

namespace cassiaspan {

milliseconds choose_retry_after(milliseconds expected, double jitter) {
    const double time = static_cast<double>(std::max(expected, min_retry_after).count()) * jitter;
    return std::clamp(milliseconds(static_cast<std::int64_t>(time)), min_retry_after, max_retry_after);
}

} // namespace cassiaspan
