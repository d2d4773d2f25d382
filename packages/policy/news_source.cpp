#include "news_source.h"

#include <algorithm>

namespace cassiaspan {

std::optional<std::size_t> choose_news_source(const std::vector<news_source>& sources,
                                              std::uint64_t own_revision, std::uint64_t random) {
    std::uint64_t newest = own_revision;
    for (const news_source& source : sources) {
        newest = std::max(newest, source.revision);
    }
    if (newest == own_revision) {
        return std::nullopt;
    }
    const std::uint64_t least = own_revision + (newest - own_revision + 1) / 2;
    const auto is_ahead = [least](const news_source& source) { return source.revision >= least; };
    const bool any_near = std::any_of(sources.begin(), sources.end(), [&](const news_source& source) {
        return source.near && is_ahead(source);
    });
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < sources.size(); ++i) {
        if (is_ahead(sources[i]) && (sources[i].near || !any_near)) {
            chosen.push_back(i);
        }
    }
    return chosen[random % chosen.size()];
}

} // namespace cassiaspan
