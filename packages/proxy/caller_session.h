// Serves callers' connections: reads the requests of each connection, runs them and writes the responses, one
// after the other.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Serves the connection until the caller closes it, it is idle for too long, or this VM closes it.
asio::awaitable<void> serve_caller_connection(node_core& core, std::shared_ptr<tcp::socket> socket);

// Accepts and serves callers' connections until the acceptor is closed.
asio::awaitable<void> accept_callers(node_core& core, tcp::acceptor& acceptor);

// The same for peers that relay requests; see relay.h.
asio::awaitable<void> serve_relay_connection(node_core& core, std::shared_ptr<tcp::socket> socket);
asio::awaitable<void> accept_relays(node_core& core, tcp::acceptor& acceptor);

} // namespace cassiaspan
