#include "store_mirror.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cassiaspan {

bool merge_change(store_mirror& mirror, const store_change& change) {
    mirror_item& current = mirror.items[change.key];
    if (current.position >= change.item.position) {
        return false;
    }
    const bool is_known_value = current.position.revision != 0 &&
                                current.position.epoch < change.item.position.epoch &&
                                current.removed == change.item.removed && current.value == change.item.value;
    current = change.item;
    return !is_known_value;
}

std::vector<store_change> merge_changes(store_mirror& mirror, const std::vector<store_change>& changes) {
    std::vector<store_change> applied;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(applied),
                 [&mirror](const store_change& change) { return merge_change(mirror, change); });
    return applied;
}

std::vector<store_change> merge_snapshot(store_mirror& mirror, const std::vector<store_change>& snapshot,
                                         store_position position) {
    std::vector<store_change> applied = merge_changes(mirror, snapshot);
    std::set<std::string_view> snapshot_keys;
    for (const store_change& change : snapshot) {
        snapshot_keys.insert(change.key);
    }
    for (auto& [key, item] : mirror.items) {
        if (!item.removed && item.position.epoch == position.epoch && item.position <= position &&
            snapshot_keys.count(key) == 0) {
            item = {"", position, true};
            applied.push_back({key, item});
        }
    }
    if (position > mirror.position) {
        mirror.pruned_position = std::max(mirror.pruned_position, mirror.after_snapshot);
        mirror.before_snapshot = mirror.position;
        mirror.after_snapshot = position;
        mirror.position = position;
    }
    return applied;
}

std::vector<store_change> remove_items_of_earlier_epochs(store_mirror& mirror) {
    std::vector<store_change> applied;
    for (auto& [key, item] : mirror.items) {
        if (!item.removed && item.position.epoch < mirror.position.epoch) {
            item = {"", mirror.position, true};
            applied.push_back({key, item});
        }
    }
    return applied;
}

bool knows_changes_since(const store_mirror& mirror, store_position position) {
    const bool is_beside_snapshot = position <= mirror.before_snapshot || position >= mirror.after_snapshot;
    return position.epoch >= mirror.position.epoch && position >= mirror.pruned_position &&
           is_beside_snapshot;
}

bool has_items_ahead(const store_mirror& mirror) {
    return std::any_of(mirror.items.begin(), mirror.items.end(),
                       [&mirror](const auto& entry) { return entry.second.position > mirror.position; });
}

std::vector<store_change> changes_since(const store_mirror& mirror, store_position position) {
    std::vector<store_change> changes;
    for (const auto& [key, item] : mirror.items) {
        if (item.position > position) {
            changes.push_back({key, item});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const store_change& left, const store_change& right) {
        return left.item.position < right.item.position;
    });
    return changes;
}

void prune_tombstones(store_mirror& mirror, std::size_t max_tombstones) {
    std::vector<std::pair<store_position, std::string>> tombstones;
    for (const auto& [key, item] : mirror.items) {
        if (item.removed) {
            tombstones.emplace_back(item.position, key);
        }
    }
    if (tombstones.size() <= max_tombstones) {
        return;
    }
    std::sort(tombstones.begin(), tombstones.end());
    tombstones.resize(tombstones.size() - max_tombstones);
    for (const auto& [position, key] : tombstones) {
        mirror.items.erase(key);
        mirror.pruned_position = std::max(mirror.pruned_position, position);
    }
}

} // namespace cassiaspan
