// Limits the rate of requests to a cold target, i.e. one that has just started. The limit holds over all VMs
// without coordination: time is divided into intervals of vm_count / rate seconds, and each VM may send one
// request per interval, in its own time slot. A slot that is not used soon after its start expires, so that
// VMs that were all waiting for the target do not send to it at the same time.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace cassiaspan {

// This VM's state for one cold target.
struct cold_pacing {
    // Number of the last time slot in which this VM sent a request; -1 if none.
    std::int64_t last_used_slot = -1;
    auto operator<=>(const cold_pacing&) const = default;
};

// The length of the interval and the position of this VM's time slot in it.
struct cold_pacing_params {
    // Rate limit of the cold target over all VMs.
    double requests_per_second = 0;
    std::size_t vm_count = 1;
    // Start of this VM's time slot as a fraction of the interval, in [0, 1). Differs between VMs.
    double phase = 0;
    auto operator<=>(const cold_pacing_params&) const = default;
};

// Returns whether this VM may send a request to the cold target now: its current time slot is unused and has
// not expired.
[[nodiscard]] bool may_send_to_cold_target(const cold_pacing& pacing, const cold_pacing_params& params,
                                           instant now);

// Records that a request was sent, which uses up the current time slot.
void record_sent_to_cold_target(cold_pacing& pacing, const cold_pacing_params& params, instant now);

} // namespace cassiaspan
