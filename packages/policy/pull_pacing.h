// Decides when a VM that waits for changes of the store from a peer requests them from another peer as well.
// A round trip over a loaded link may take longer than a peer that has failed should be waited for, so that a
// pending request is not abandoned when the next one starts.
#pragma once

#include "clock.h"

#include <vector>

namespace cassiaspan {

// A request that progresses at least this often is waited for alone.
constexpr milliseconds max_pull_stall{600};
constexpr std::size_t max_pending_pulls = 4;

// Returns whether one more request may be started. `last_progress` holds for each pending request when it was
// started, when its connection was established, or when a part of its reply arrived, whichever was last.
[[nodiscard]] bool may_start_pull(const std::vector<instant>& last_progress, instant now);

} // namespace cassiaspan
