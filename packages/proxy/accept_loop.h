// Accepts connections and serves each on its own.
#pragma once

#include "node_core.h"

#include <functional>
#include <memory>

namespace cassiaspan {

// Serves one connection until it ends.
using connection_handler = std::function<asio::awaitable<void>(std::shared_ptr<tcp::socket> socket)>;

// Accepts until the acceptor is closed. Pauses while no descriptors are left.
asio::awaitable<void> accept_connections(node_core& core, tcp::acceptor& acceptor,
                                         connection_handler handler);

} // namespace cassiaspan
