#include "store_mirror.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cassiaspan {

bool merge_change(store_mirror& mirror, const store_change& change) {
    mirror_item& current = mirror.items[change.key];
    if (current.revision >= change.item.revision) {
        return false;
    }
    current = change.item;
    return true;
}

std::vector<store_change> merge_changes(store_mirror& mirror, const std::vector<store_change>& changes) {
    std::vector<store_change> applied;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(applied),
                 [&mirror](const store_change& change) { return merge_change(mirror, change); });
    return applied;
}

std::vector<store_change> merge_snapshot(store_mirror& mirror, const std::vector<store_change>& items,
                                         std::uint64_t revision) {
    std::vector<store_change> applied = merge_changes(mirror, items);
    std::set<std::string_view> snapshot_keys;
    for (const store_change& change : items) {
        snapshot_keys.insert(change.key);
    }
    for (auto& [key, item] : mirror.items) {
        if (!item.removed && item.revision <= revision && snapshot_keys.count(key) == 0) {
            item = {"", revision, true};
            applied.push_back({key, item});
        }
    }
    mirror.revision = std::max(mirror.revision, revision);
    return applied;
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

void prune_tombstones(store_mirror& mirror, std::size_t max_tombstones) {
    std::vector<std::pair<std::uint64_t, std::string>> tombstones;
    for (const auto& [key, item] : mirror.items) {
        if (item.removed) {
            tombstones.emplace_back(item.revision, key);
        }
    }
    if (tombstones.size() <= max_tombstones) {
        return;
    }
    std::sort(tombstones.begin(), tombstones.end());
    tombstones.resize(tombstones.size() - max_tombstones);
    for (const auto& [revision, key] : tombstones) {
        mirror.items.erase(key);
        mirror.pruned_revision = std::max(mirror.pruned_revision, revision);
    }
}

} // namespace cassiaspan
