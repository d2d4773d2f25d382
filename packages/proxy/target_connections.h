// Connections to targets: kept ones are used again while they are surely open.
#pragma once

#include "node_core.h"
#include "request_cancellation.h"

#include <memory>

namespace cassiaspan {

// Returns an idle connection that may be used, or nothing. `max_idle` is the longest idle time that the
// request accepts: one that may not be repeated only takes a connection that was in use just before.
[[nodiscard]] std::unique_ptr<target_connection> take_idle_connection(target_record& target, instant now,
                                                                      milliseconds max_idle);

// Opens a connection; nothing when the target cannot be reached in time or the request is interrupted.
asio::awaitable<std::unique_ptr<target_connection>> open_connection(node_core& core, target_ptr target,
                                                                    cancellation_ptr control);

// Keeps a connection for later requests.
void pool_connection(target_record& target, std::unique_ptr<target_connection> connection, instant now);

// Counts a connection as closed.
void record_connection_closed(target_record& target);

// Closes kept connections that have been idle for too long.
void close_expired_connections(target_record& target, instant now);

// Returns how many connections this VM may have to one target.
[[nodiscard]] std::size_t connection_limit(const node_core& core, const target_record& target);

} // namespace cassiaspan
