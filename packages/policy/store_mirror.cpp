#include "store_mirror.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cassiaspan {

bool merge_change(store_mirror& mirror, const store_change& change) {
    mirror_item& known = mirror.items[change.key];
    if (known.revision >= change.item.revision) {
        return false;
    }
    known = change.item;
    return true;
}

std::vector<store_change> merge_changes(store_mirror& mirror, const std::vector<store_change>& changes) {
    std::vector<store_change> fresh;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(fresh),
                 [&mirror](const store_change& change) { return merge_change(mirror, change); });
    return fresh;
}

std::vector<store_change> merge_full_read(store_mirror& mirror, const std::vector<store_change>& items,
                                          std::uint64_t revision) {
    std::vector<store_change> fresh = merge_changes(mirror, items);
    std::set<std::string_view> present;
    for (const store_change& change : items) {
        present.insert(change.key);
    }
    for (auto& [key, item] : mirror.items) {
        if (!item.removed && item.revision <= revision && present.count(key) == 0) {
            item = {"", revision, true};
            fresh.push_back({key, item});
        }
    }
    mirror.revision = std::max(mirror.revision, revision);
    return fresh;
}

std::vector<store_change> changes_since(const store_mirror& mirror, std::uint64_t revision) {
    std::vector<store_change> changes;
    for (const auto& [key, item] : mirror.items) {
        if (item.revision > revision) {
            changes.push_back({key, item});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const store_change& left, const store_change& right) {
        return left.item.revision < right.item.revision;
    });
    return changes;
}

void trim_removals(store_mirror& mirror, std::size_t kept) {
    std::vector<std::pair<std::uint64_t, std::string>> removals;
    for (const auto& [key, item] : mirror.items) {
        if (item.removed) {
            removals.emplace_back(item.revision, key);
        }
    }
    if (removals.size() <= kept) {
        return;
    }
    std::sort(removals.begin(), removals.end());
    removals.resize(removals.size() - kept);
    for (const auto& [revision, key] : removals) {
        mirror.items.erase(key);
        mirror.forgotten_revision = std::max(mirror.forgotten_revision, revision);
    }
}

} // namespace cassiaspan
