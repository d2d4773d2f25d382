#include "change_source.h"

#include <algorithm>

namespace cassiaspan {

std::optional<std::size_t> choose_change_source(const std::vector<change_source>& sources,
                                                std::uint64_t own_revision, std::uint64_t random) {
    std::uint64_t newest_revision = own_revision;
    for (const change_source& source : sources) {
        newest_revision = std::max(newest_revision, source.revision);
    }
    if (newest_revision == own_revision) {
        return std::nullopt;
    }
    const std::uint64_t min_revision = own_revision + (newest_revision - own_revision + 1) / 2;
    const auto has_enough_changes = [min_revision](const change_source& source) {
        return source.revision >= min_revision;
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
