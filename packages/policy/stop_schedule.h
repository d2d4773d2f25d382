// Times of a planned stop within its grace period, at whose end the process is killed.
#pragma once

#include "clock.h"

#include <compare>

namespace cassiaspan {

// Times since the signal was handled.
struct stop_schedule {
    // From when on new requests are refused. Until then, callers can learn that the VM is leaving.
    milliseconds refusal{};
    // From when on requests that are still being forwarded are answered without their targets.
    milliseconds last_answers{};
    // When the process exits at the latest.
    milliseconds exit{};
    auto operator<=>(const stop_schedule&) const = default;
};

// Returns the schedule. The signal was sent up to `max_signal_delay` before it was handled. The last answers
// are in the last sixth of the grace period wherever in that time it began, because targets may be at work on
// the requests.
[[nodiscard]] stop_schedule make_stop_schedule(milliseconds grace, milliseconds max_signal_delay);

} // namespace cassiaspan
