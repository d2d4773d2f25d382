// What a target has announced about itself in its responses: that it is leaving, or that it wants no requests
// for a while. Binds only the VM that received the response; it ends with the incarnation of the target.
#pragma once

#include "clock.h"

#include <compare>
#include <optional>

namespace cassiaspan {

// Longest pause that a target may ask for. A faulty value must not take a target out of use for good.
constexpr milliseconds max_pause{300'000};

// The announcements of one incarnation of a target.
struct target_availability {
    // When this VM first learned that the target is leaving; unset if it is not.
    std::optional<instant> leaving_since;
    // The target gets no requests before this time.
    instant paused_until;
    auto operator<=>(const target_availability&) const = default;
};

// Records that the target is leaving. Later announcements change nothing.
void record_leaving(target_availability& availability, instant now);

// Returns whether the target is leaving, so that it should get no new requests.
[[nodiscard]] bool is_leaving(const target_availability& availability);

// Returns whether a leaving target may still get requests that no other target can serve. `drain_time` is how
// long it serves requests after its announcement. It is used for half of that time, so that these requests
// finish before it exits.
[[nodiscard]] bool may_use_while_leaving(const target_availability& availability, milliseconds drain_time,
                                         instant now);

// Records that the target wants no requests for `time`. A pause that ends later stays. `jitter`, 0 to 1,
// extends the pause by up to a tenth, at most 0.5 s, so that VMs that were told at the same time do not
// return at the same time.
void record_pause(target_availability& availability, milliseconds time, double jitter, instant now);

// Returns whether the target wants no requests at present.
[[nodiscard]] bool is_paused(const target_availability& availability, instant now);

} // namespace cassiaspan
