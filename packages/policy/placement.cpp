#include "placement.h"

#include <algorithm>
#include <tuple>

namespace cassiaspan {

namespace {

// Finalizer of splitmix64 (Steele, Lea and Flood, 2014): every input bit changes half of the output bits.
std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

bool has_free_slot(const placement_candidate& candidate) {
    return candidate.load < candidate.slots;
}

// The order in which targets are asked: sound before doubtful, near before far, then by the key's weights, or
// by relative load where there is no key.
auto preference(const placement_candidate& candidate, const placement_request& request) {
    const double by_load = request.key ? 0 : candidate.load / candidate.slots;
    const std::uint64_t by_key = request.key ? mix(candidate.identity ^ mix(*request.key)) : 0;
    return std::make_tuple(candidate.doubtful, !candidate.near, by_load, by_key, candidate.identity);
}

} // namespace

milliseconds expected_finish(const placement_candidate& candidate) {
    const double waiting = std::max(0.0, candidate.load - candidate.slots + 1);
    const auto wait = static_cast<double>(candidate.service_time.count()) * waiting / candidate.slots;
    return candidate.service_time + candidate.round_trip + milliseconds(static_cast<std::int64_t>(wait));
}

placement place_request(const std::vector<placement_candidate>& candidates,
                        const placement_request& request) {
    std::optional<std::size_t> free;
    std::optional<std::size_t> fastest;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (has_free_slot(candidates[i]) &&
            (!free || preference(candidates[i], request) < preference(candidates[*free], request))) {
            free = i;
        }
        if (!fastest || expected_finish(candidates[i]) < expected_finish(candidates[*fastest])) {
            fastest = i;
        }
    }
    if (free) {
        return {free, expected_finish(candidates[*free])};
    }
    if (!fastest) {
        return {};
    }
    const milliseconds finish = expected_finish(candidates[*fastest]);
    return {finish <= request.patience ? fastest : std::nullopt, finish};
}

} // namespace cassiaspan
