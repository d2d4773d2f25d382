// The pool of connections to targets. An idle connection is reused only while it is very likely still open.
#pragma once

#include "node_core.h"
#include "request_cancellation.h"

#include <memory>
#include <string_view>

namespace cassiaspan {

// Takes the connection that was used last out of the pool, or returns null if there is none that can be
// reused. Connections that cannot be reused are closed. `max_idle` is the longest idle time that the request
// accepts: a request that cannot be retried only takes a connection that was in use shortly before. On the
// connection that is returned, `request_id` tells the response from those to earlier requests; there is none
// for an empty id.
[[nodiscard]] std::unique_ptr<target_connection>
take_idle_connection(target_record& target, instant now, milliseconds max_idle, std::string_view request_id);

// Notes that the target has refused a request with this id on the connection.
void record_refusal(target_connection& connection, std::string_view request_id);

// Opens a connection. Returns null if the target cannot be reached in time or the request is cancelled.
asio::awaitable<std::unique_ptr<target_connection>> open_connection(node_core& core, target_ptr target,
                                                                    cancellation_ptr cancellation);

// Puts a connection into the pool. It stays counted in the target's `open_connections`. Closes it instead if
// the target has refused many requests on it.
void pool_connection(target_record& target, std::unique_ptr<target_connection> connection, instant now);

// Subtracts a closed connection from the target's `open_connections`.
void record_connection_closed(target_record& target);

// Closes pooled connections that have been idle for too long.
void close_expired_connections(target_record& target, instant now);

// Returns how many connections this VM may have to the target: its share of the service's limit over all VMs,
// but at least 4, or the descriptor limit of the process if the service has no limit.
[[nodiscard]] std::size_t connection_limit(const node_core& core, const target_record& target);

} // namespace cassiaspan
