// What a target has announced about itself in its responses: that it is leaving, or that it wants no requests
// for a while. Binds only the VM that received the response; it ends with the incarnation of the target.
#pragma once

#include "clock.h"

#include <compare>
#include <optional>

namespace cassiaspan {

// The announcements of one incarnation of a target.
struct target_availability {
    // When this VM first learned that the target is leaving; unset if it is not.
    std::optional<instant> leaving_since;
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

} // namespace cassiaspan
