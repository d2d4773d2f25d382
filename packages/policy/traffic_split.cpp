#include "traffic_split.h"

#include <algorithm>

namespace cassiaspan {

std::size_t choose_weighted_service(split_state& state, const std::vector<weighted_service>& services) {
    if (state.deficits.size() != services.size()) {
        state.deficits.assign(services.size(), 0);
    }
    double total_weight = 0;
    for (const weighted_service& service : services) {
        total_weight += service.weight;
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
        state.deficits[i] += total_weight > 0 ? services[i].weight / total_weight : 0;
    }
    const auto largest = std::max_element(state.deficits.begin(), state.deficits.end());
    const auto index = static_cast<std::size_t>(largest - state.deficits.begin());
    *largest -= 1;
    return index;
}

} // namespace cassiaspan
