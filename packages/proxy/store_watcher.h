// Keeps the copy of the store up to date by a watch, and this VM's record in the store by a lease.
#pragma once

#include "metadata_store.h"
#include "node_core.h"

namespace cassiaspan {

// Reads the store and watches it until the VM ends.
asio::awaitable<void> watch_store(node_core& core, metadata_store& store);

// Keeps the VM's record in the store until the VM begins to stop, then removes it.
asio::awaitable<void> maintain_vm_record(node_core& core, metadata_store& store);

} // namespace cassiaspan
