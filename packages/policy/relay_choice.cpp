#include "relay_choice.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Requests in flight per Mbit/s, counting the one to be sent.
double relative_load(const relay_candidate& candidate) {
    return static_cast<double>(candidate.in_flight + 1) /
           static_cast<double>(std::max<std::uint32_t>(1, candidate.link_mbps));
}

bool is_preferred(const relay_candidate& left, const relay_candidate& right) {
    const double left_load = relative_load(left);
    const double right_load = relative_load(right);
    return left_load < right_load || (left_load == right_load && left.is_same_zone && !right.is_same_zone);
}

} // namespace

std::optional<std::size_t> choose_relay(const std::vector<relay_candidate>& candidates,
                                        std::mt19937_64& random) {
    std::vector<std::size_t> nearest;
    for (const bool same_region : {true, false}) {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].is_same_region == same_region) {
                nearest.push_back(i);
            }
        }
        if (!nearest.empty()) {
            break;
        }
    }
    if (nearest.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, nearest.size() - 1);
    const std::size_t first = nearest[draw(random)];
    const std::size_t second = nearest[draw(random)];
    return is_preferred(candidates[second], candidates[first]) ? second : first;
}

} // namespace cassiaspan
