// A replica of the store's items, merged from responses of the store and from changes that peers forward. For
// each key the highest revision wins, so that a late or stale source never reverts a newer change.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cassiaspan {

// The newest known write of a key. Removals are kept as tombstones, so that a stale source cannot restore the
// item.
struct mirror_item {
    // Empty if removed.
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    auto operator<=>(const mirror_item&) const = default;
};

// One change of the store, as exchanged between VMs.
struct store_change {
    std::string key;
    mirror_item item;
    auto operator<=>(const store_change&) const = default;
};

// All items by key, including tombstones. `revision` is the store revision up to which the replica is
// complete.
struct store_mirror {
    std::map<std::string, mirror_item> items;
    std::uint64_t revision = 0;
    // Tombstones up to this revision may have been pruned.
    std::uint64_t pruned_revision = 0;
};

// Applies one change. Returns false if the mirror already has the same or a higher revision of the key.
bool merge_change(store_mirror& mirror, const store_change& change);

// Applies changes. Returns those that were new.
[[nodiscard]] std::vector<store_change> merge_changes(store_mirror& mirror,
                                                      const std::vector<store_change>& changes);

// Applies a complete read of the store at `revision`. Items that are missing in the snapshot and not newer
// than `revision` are removed. Returns the changes that were new, including these removals.
[[nodiscard]] std::vector<store_change>
merge_snapshot(store_mirror& mirror, const std::vector<store_change>& snapshot, std::uint64_t revision);

// Returns the changes after `revision`, including removals, oldest first.
[[nodiscard]] std::vector<store_change> changes_since(const store_mirror& mirror, std::uint64_t revision);

// Prunes the oldest tombstones, so that at most `max_tombstones` remain.
void prune_tombstones(store_mirror& mirror, std::size_t max_tombstones);

} // namespace cassiaspan
