// Synchronizes the store mirrors of the VMs over HTTP/2 streams. A VM that cannot reach the store, or does
// not read it itself, requests from a VM with a newer mirror all changes after its own position.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Serves requests from other VMs until the acceptor is closed.
asio::awaitable<void> serve_store_sync(node_core& core, tcp::acceptor& acceptor);

// Pulls changes from a peer whose mirror is newer: at once if the store is unavailable or this VM does not
// read it, otherwise once the mirror has lagged for longer than the store's normal delivery time. Never
// returns.
asio::awaitable<void> pull_store_changes(node_core& core);

// Returns the changes after `position` of a verified mirror. If the changes after it are not all known,
// because removals were pruned, the whole store was read or it was restored since, returns the whole mirror
// and marks the reply as complete.
[[nodiscard]] schema::StoreChanges make_changes_reply(const store_mirror& mirror, store_position position);

// Merges a reply into the mirror and applies the changes that are new. `has_all_changes` states that all were
// requested, so that the reply holds the whole mirror even if it is not marked as complete. Ignores a reply
// that is not newer than the mirror, and one with a part of a mirror that is not verified.
void apply_changes_reply(node_core& core, const schema::StoreChanges& reply, bool has_all_changes = false);

} // namespace cassiaspan
