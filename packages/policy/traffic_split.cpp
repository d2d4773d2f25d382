#include "traffic_split.h"

#include <algorithm>

namespace cassiaspan {

std::size_t choose_part(split_state& state, const std::vector<split_part>& parts) {
    if (state.behind.size() != parts.size()) {
        state.behind.assign(parts.size(), 0);
    }
    double total = 0;
    for (const split_part& part : parts) {
        total += part.weight;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        state.behind[i] += total > 0 ? parts[i].weight / total : 0;
    }
    const auto furthest = std::max_element(state.behind.begin(), state.behind.end());
    const auto index = static_cast<std::size_t>(furthest - state.behind.begin());
    *furthest -= 1;
    return index;
}

} // namespace cassiaspan
