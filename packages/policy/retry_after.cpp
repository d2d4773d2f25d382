#include "retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cassiaspan {

milliseconds choose_retry_after(milliseconds expected, double jitter) {
    const double time = static_cast<double>(std::max(expected, min_retry_after).count()) * jitter;
    return std::clamp(milliseconds(static_cast<std::int64_t>(time)), min_retry_after, max_retry_after);
}

std::optional<milliseconds> parse_retry_after(std::string_view text, milliseconds longest) {
    double time = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, time, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(time) || time < 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> shortened =
        std::min(std::chrono::duration<double>(time), std::chrono::duration<double>(longest));
    return std::chrono::ceil<milliseconds>(shortened);
}

} // namespace cassiaspan
