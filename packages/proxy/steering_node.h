// Main program of a VM: creates and starts all services, and performs a planned stop.
#pragma once

#include "findings.h"
#include "metadata_store.h"
#include "node_core.h"

namespace cassiaspan {

// Creates a store connection that runs on the given event loop.
using store_factory = std::function<std::unique_ptr<metadata_store>(asio::io_context&)>;

// Reads the settings again, or returns all errors in them.
using settings_loader = std::function<tl::expected<node_settings, findings>()>;

// Runs the VM until SIGTERM or SIGINT has completed a planned stop. SIGHUP calls `load_settings` and applies
// those settings that can change while the VM runs; see apply_reloaded_settings(). Returns an error message
// with the address if an address cannot be bound.
[[nodiscard]] tl::expected<void, std::string>
run_node(const clock& clock_source, const node_settings& settings, const platform_adapter& platform,
         const store_factory& make_store, const settings_loader& load_settings, node_log& log);

} // namespace cassiaspan
