// One VM: brings the parts together, starts them and carries out a planned stop.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Runs the VM until it is told to stop. `make_store` opens a connection to the store. Returns an error when an
// address cannot be bound.
[[nodiscard]] tl::expected<void, std::string>
run_node(asio::io_context& context, const clock& time, const node_settings& settings,
         const platform_adapter& platform, const std::function<std::unique_ptr<metadata_store>()>& make_store,
         node_log& log);

} // namespace cassiaspan
