// Serves one caller's connection: reads requests, runs them and writes the answers, one after the other.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Serves the connection until it ends.
asio::awaitable<void> serve_caller_connection(node_core& core, std::shared_ptr<tcp::socket> socket);

// Accepts callers until the acceptor is closed.
asio::awaitable<void> accept_callers(node_core& core, tcp::acceptor& acceptor);

} // namespace cassiaspan
