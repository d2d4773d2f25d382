#include "store_reader.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr std::ptrdiff_t max_retry_delay_factor = 4;

} // namespace

bool should_read_store(const std::vector<store_access>& zone, std::size_t index) {
    const auto preferred_end = zone.begin() + static_cast<std::ptrdiff_t>(index);
    if (std::find(zone.begin(), preferred_end, store_access::reading) != preferred_end) {
        return false;
    }
    const auto failed = std::count(zone.begin(), zone.end(), store_access::unreachable);
    const auto untried = std::count(zone.begin(), preferred_end, store_access::not_reading);
    return untried <= failed;
}

int retry_delay_factor(const std::vector<store_access>& zone, std::size_t index) {
    const auto preferred_end = zone.begin() + static_cast<std::ptrdiff_t>(index);
    const auto preferred_failed = std::count(zone.begin(), preferred_end, store_access::unreachable);
    return static_cast<int>(std::min(preferred_failed + 1, max_retry_delay_factor));
}

} // namespace cassiaspan
