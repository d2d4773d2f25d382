// Deals the requests of a route to the services of its traffic split in proportion to their weights.
#pragma once

#include "steering_config.h"

#include <vector>

namespace cassiaspan {

// How far each part is behind its share, in requests.
struct split_state {
    std::vector<double> deficits;
    auto operator<=>(const split_state&) const = default;
};

// Returns the index of the part that is furthest behind its share, and counts the request for it. The parts
// never differ from their shares by more than one request for each part.
[[nodiscard]] std::size_t choose_weighted_service(split_state& state,
                                                  const std::vector<weighted_service>& services);

} // namespace cassiaspan
