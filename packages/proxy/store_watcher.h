// Maintains the local mirror of the store with a watch, and this VM's record in the store with a lease.
#pragma once

#include "metadata_store.h"
#include "node_core.h"

namespace cassiaspan {

// Reads the whole store, then watches it for changes. Reads it again when the watch history is lost. Never
// returns.
asio::awaitable<void> watch_store(node_core& core, metadata_store& store);

// Writes the VM's record and renews its lease until a planned stop begins, then revokes the lease, which
// removes the record.
asio::awaitable<void> maintain_vm_record(node_core& core, metadata_store& store);

} // namespace cassiaspan
