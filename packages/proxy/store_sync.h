// Passes changes of the store between VMs, over HTTP/2 streams: a VM that the store does not serve, or that
// does not read it, asks a VM whose copy is newer for everything after its own revision.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Answers other VMs until the acceptor is closed.
asio::awaitable<void> serve_store_sync(node_core& core, tcp::acceptor& acceptor);

// Asks whenever another VM's copy of the store is newer than this VM's for longer than the store usually
// takes.
asio::awaitable<void> pull_store_changes(node_core& core);

// Returns the answer to the question for all changes after `revision`.
[[nodiscard]] schema::StoreChanges make_changes_reply(const store_mirror& mirror, std::uint64_t revision);

// Takes in an answer.
void apply_changes_reply(node_core& core, const schema::StoreChanges& news);

} // namespace cassiaspan
