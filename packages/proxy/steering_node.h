// One VM: brings the parts together, starts them and carries out a planned stop.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Opens a connection to the store that works on the given event loop.
using store_factory = std::function<std::unique_ptr<metadata_store>(asio::io_context&)>;

// Runs the VM until it is told to stop. Returns an error when an address cannot be bound.
[[nodiscard]] tl::expected<void, std::string> run_node(const clock& time, const node_settings& settings,
                                                       const platform_adapter& platform,
                                                       const store_factory& make_store, node_log& log);

} // namespace cassiaspan
