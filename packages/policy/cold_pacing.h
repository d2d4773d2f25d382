// Spaces the requests that go to a cold target. A cold target bears few requests per second, counted over all
// VMs; each VM takes an equal part of them.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// When this VM may send the next request to one cold target.
struct cold_pacing {
    instant next;
    bool started = false;
    auto operator<=>(const cold_pacing&) const = default;
};

// Returns whether this VM may send a request to the cold target now. `phase` in [0, 1) spreads the first
// requests of the VMs over their common interval.
[[nodiscard]] bool may_send_cold(cold_pacing& pacing, double requests_per_second, std::size_t vm_count,
                                 double phase, instant now);

// Notes that a request was sent.
void note_sent_cold(cold_pacing& pacing, double requests_per_second, std::size_t vm_count, instant now);

} // namespace cassiaspan
