#include "change_source.h"

#include <algorithm>

namespace cassiaspan {

std::optional<std::size_t> choose_change_source(const std::vector<change_source>& sources,
                                                store_position own_position, std::uint64_t random) {
    store_position newest = own_position;
    for (const change_source& source : sources) {
        newest = std::max(newest, source.position);
    }
    if (newest == own_position) {
        return std::nullopt;
    }
    const std::uint64_t known_revision = own_position.epoch == newest.epoch ? own_position.revision : 0;
    const store_position min_position{newest.epoch,
                                      known_revision + (newest.revision - known_revision + 1) / 2};
    const auto has_enough_changes = [min_position](const change_source& source) {
        return source.position >= min_position;
    };
    const bool any_in_region = std::any_of(sources.begin(), sources.end(), [&](const change_source& source) {
        return source.same_region && has_enough_changes(source);
    });
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < sources.size(); ++i) {
        if (has_enough_changes(sources[i]) && (sources[i].same_region || !any_in_region)) {
            candidates.push_back(i);
        }
    }
    return candidates[random % candidates.size()];
}

} // namespace cassiaspan
