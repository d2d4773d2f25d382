// Distributes the requests of a route over the services of its traffic split by weighted round robin.
#pragma once

#include "steering_config.h"

#include <vector>

namespace cassiaspan {

// State of the round robin for one route.
struct split_state {
    // For each service: its share of the requests so far minus the requests it received.
    std::vector<double> deficits;
    auto operator<=>(const split_state&) const = default;
};

// Returns the index of the service with the largest deficit and counts the request for it. The number of
// requests of a service never differs from its share by more than the number of services. Resets the state if
// the number of services has changed.
[[nodiscard]] std::size_t choose_weighted_service(split_state& state,
                                                  const std::vector<weighted_service>& services);

} // namespace cassiaspan
