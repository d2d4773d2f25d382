#include "target_reach.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Targets that fail one after the other until the group counts as out of reach. Fewer would be exceeded by
// targets that crash or are replaced together.
constexpr std::size_t min_unreached_targets = 3;
constexpr milliseconds recent_failure_time{2000};
constexpr milliseconds return_time{1000};

} // namespace

bool record_contact(target_reach& reach, instant now) {
    const bool was_lost = reach.is_lost;
    reach.is_lost = false;
    reach.unreached.clear();
    reach.last_contact = now;
    if (was_lost) {
        reach.restored_at = now;
    }
    return was_lost;
}

bool record_no_contact(target_reach& reach, std::uint32_t target, std::size_t known_targets, instant now) {
    reach.last_failure = now;
    if (reach.is_lost) {
        return false;
    }
    if (std::find(reach.unreached.begin(), reach.unreached.end(), target) == reach.unreached.end()) {
        reach.unreached.push_back(target);
    }
    const std::size_t limit = std::max<std::size_t>(1, std::min(min_unreached_targets, known_targets));
    reach.is_lost = reach.unreached.size() >= limit;
    if (reach.is_lost) {
        reach.lost_at = now;
    }
    return reach.is_lost;
}

bool failed_recently(const target_reach& reach, instant now) {
    return reach.last_failure != instant{} && now - reach.last_failure <= recent_failure_time;
}

double direct_fraction(const target_reach& reach, instant now) {
    if (reach.is_lost) {
        return 0;
    }
    if (reach.restored_at == instant{}) {
        return 1;
    }
    return std::min(1.0, std::chrono::duration<double>(now - reach.restored_at) / return_time);
}

} // namespace cassiaspan
