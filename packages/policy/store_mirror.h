// A replica of the store's items, merged from responses of the store and from changes that peers forward. For
// each key the latest position wins, so that a late or stale source never reverts a newer change.
#pragma once

#include "store_position.h"

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
    store_position position;
    bool removed = false;
    auto operator<=>(const mirror_item&) const = default;
};

// One change of the store, as exchanged between VMs.
struct store_change {
    std::string key;
    mirror_item item;
    auto operator<=>(const store_change&) const = default;
};

// All items by key, including tombstones. `position` is the position of the store up to which the replica is
// complete, apart from the items of earlier epochs: see remove_items_of_earlier_epochs().
struct store_mirror {
    std::map<std::string, mirror_item> items;
    store_position position;
    // Tombstones up to this position may have been pruned.
    store_position pruned_position;
    // The last snapshot that was ahead of the replica: the positions before and after it. Items that were
    // written and removed in between have left no tombstones.
    store_position before_snapshot;
    store_position after_snapshot;
};

// Applies one change. Returns false if the mirror already has the same or a later write of the key, or if the
// change only carries the value that the key already has into a later epoch.
bool merge_change(store_mirror& mirror, const store_change& change);

// Applies changes. Returns those that were new.
[[nodiscard]] std::vector<store_change> merge_changes(store_mirror& mirror,
                                                      const std::vector<store_change>& changes);

// Applies a complete read of the store at `position`. Items of the same epoch that are missing in the
// snapshot and not newer than `position` are removed; those of earlier epochs are kept. Returns the changes
// that were new, including these removals.
[[nodiscard]] std::vector<store_change>
merge_snapshot(store_mirror& mirror, const std::vector<store_change>& snapshot, store_position position);

// Removes the items that have not been read again in the epoch of the mirror's position. A restored store
// lacks the items that were written after its copy was made until their writers have written them again, so
// call this only some time after the epoch has changed. Returns the removals.
[[nodiscard]] std::vector<store_change> remove_items_of_earlier_epochs(store_mirror& mirror);

// Returns whether the mirror knows all changes after `position`, so that they bring a replica that is
// complete up to there to the position of the mirror.
[[nodiscard]] bool knows_changes_since(const store_mirror& mirror, store_position position);

// Returns whether the mirror contains items that are newer than its position. It may lack other changes up to
// theirs.
[[nodiscard]] bool has_items_ahead(const store_mirror& mirror);

// Returns the changes after `position`, including removals, oldest first.
[[nodiscard]] std::vector<store_change> changes_since(const store_mirror& mirror, store_position position);

// Prunes the oldest tombstones, so that at most `max_tombstones` remain.
void prune_tombstones(store_mirror& mirror, std::size_t max_tombstones);

} // namespace cassiaspan
