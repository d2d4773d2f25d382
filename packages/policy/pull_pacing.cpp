#include "pull_pacing.h"

#include <algorithm>

namespace cassiaspan {

bool may_start_pull(const std::vector<instant>& last_progress, instant now) {
    if (last_progress.empty()) {
        return true;
    }
    const instant latest = *std::max_element(last_progress.begin(), last_progress.end());
    return last_progress.size() < max_pending_pulls && now - latest >= max_pull_stall;
}

} // namespace cassiaspan
