// Accepts connections and serves each one in its own coroutine.
#pragma once

#include "node_core.h"

#include <functional>
#include <memory>

namespace cassiaspan {

// Serves one connection until it ends.
using connection_handler = std::function<asio::awaitable<void>(std::shared_ptr<tcp::socket> socket)>;

// Accepts connections and starts `handler` for each, until the acceptor is closed. Accept errors, such as
// running out of file descriptors, are logged, and accepting continues after a pause of 20 ms. An exception
// that a handler throws is logged and ends its connection only.
asio::awaitable<void> accept_connections(node_core& core, tcp::acceptor& acceptor,
                                         connection_handler handler);

// Returns a handler that serves with `handler` no more connections at a time than the budget allows for one
// listener. Beyond that, the oldest connection is closed, or the new one if all are younger than 1 s. Closed
// ones are counted in the metrics and logged.
connection_handler limit_connections(node_core& core, connection_handler handler);

// Returns whether a further connection may be served at a listener for other VMs; see admit_peer(). Where the
// limit is reached, counts and logs it.
[[nodiscard]] bool admit_peer_connection(node_core& core, peer_connections& connections,
                                         caller_source source);

} // namespace cassiaspan
