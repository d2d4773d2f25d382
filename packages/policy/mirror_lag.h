// How long a VM's mirror of the store has lacked changes that another VM is known to have. A VM that leaves
// reading the store to others measures by this whether their changes arrive.
#pragma once

#include "clock.h"
#include "store_position.h"

#include <compare>
#include <optional>

namespace cassiaspan {

// The position that the mirror is to catch up with, and since when it is known; empty if the mirror has
// caught up with all others.
struct mirror_lag {
    store_position position;
    std::optional<instant> since;
    auto operator<=>(const mirror_lag&) const = default;
};

// Returns the lag of a mirror at `own` while the newest known position is `newest`. The time counts from the
// first position that the mirror has not caught up with.
[[nodiscard]] mirror_lag update_lag(const mirror_lag& previous, store_position own, store_position newest,
                                    instant now);

// Returns whether the changes should have been pulled from another VM by now.
[[nodiscard]] bool is_overdue(const mirror_lag& lag, instant now);

} // namespace cassiaspan
