// A copy of the store's items, merged from the store's own answers and from what peers pass on. For every key
// the newest revision wins, so that nothing adopted is ever taken back by a late or stale source.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cassiaspan {

// One key's newest known write. Removals are kept, so that a stale source cannot bring the item back.
struct mirror_item {
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    auto operator<=>(const mirror_item&) const = default;
};

// One change of the store, as it is passed between VMs.
struct store_change {
    std::string key;
    mirror_item item;
    auto operator<=>(const store_change&) const = default;
};

// All items by key. `revision` is the store's revision up to which the copy is complete.
struct store_mirror {
    std::map<std::string, mirror_item> items;
    std::uint64_t revision = 0;
    // Removals up to this revision have been forgotten.
    std::uint64_t pruned_revision = 0;
};

// Takes in one change. Returns false when the mirror knows as new a revision of the key already.
bool merge_change(store_mirror& mirror, const store_change& change);

// Takes in changes. Returns those that were new.
[[nodiscard]] std::vector<store_change> merge_changes(store_mirror& mirror,
                                                      const std::vector<store_change>& changes);

// Takes in a complete read of the store at `revision`: items that it lacks are removed. Returns the changes
// that were new.
[[nodiscard]] std::vector<store_change>
merge_snapshot(store_mirror& mirror, const std::vector<store_change>& items, std::uint64_t revision);

// Returns the changes after `revision`, oldest first.
[[nodiscard]] std::vector<store_change> changes_since(const store_mirror& mirror, std::uint64_t revision);

// Forgets the oldest removals beyond `kept`.
void prune_tombstones(store_mirror& mirror, std::size_t max_tombstones);

} // namespace cassiaspan
