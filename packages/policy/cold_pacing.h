// Spaces the requests that go to a cold target. A cold target bears few requests per second, counted over all
// VMs. Each VM has its own turn in every interval; a turn that was not used soon is lost, so that VMs which
// have all been waiting for the target do not send to it together.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace cassiaspan {

// The turn that this VM used last at one cold target.
struct cold_pacing {
    std::int64_t last_used_slot = -1;
    auto operator<=>(const cold_pacing&) const = default;
};

// How often a VM's turn comes, and where in the interval.
struct cold_pacing_params {
    double requests_per_second = 0;
    std::size_t vm_count = 1;
    // In [0, 1): spreads the turns of the VMs over their common interval.
    double phase = 0;
    auto operator<=>(const cold_pacing_params&) const = default;
};

// Returns whether this VM may send a request to the cold target now.
[[nodiscard]] bool may_send_to_cold_target(const cold_pacing& pacing, const cold_pacing_params& params,
                                           instant now);

// Notes that a request was sent.
void record_sent_to_cold_target(cold_pacing& pacing, const cold_pacing_params& params, instant now);

} // namespace cassiaspan
