// HTTP/1.1 listeners for requests without a body: readiness checks, lookups and metrics.
#pragma once

#include "node_core.h"

#include <functional>

namespace cassiaspan {

using simple_request = http::request<http::empty_body>;
using simple_response = http::response<http::string_body>;
// Returns the response to one request.
using simple_handler = std::function<simple_response(const simple_request&)>;

// Serves connections with the handler until the acceptor is closed.
asio::awaitable<void> serve_simple_requests(node_core& core, tcp::acceptor& acceptor, simple_handler handler);

// Handles a readiness check: 200 if the VM accepts new requests, 503 if not, 404 for any other path.
[[nodiscard]] simple_response answer_readiness_check(const node_core& core, const simple_request& request);

// Handles a lookup: returns the addresses of the VMs that the caller should use, at most 64; 503 if no VM
// accepts requests, 404 if the path is not a lookup.
[[nodiscard]] simple_response answer_lookup(node_core& core, const simple_request& request);

// Handles a request of a metrics collector for /metrics; 404 for any other path.
[[nodiscard]] simple_response answer_metrics(const node_core& core, const simple_request& request);

// Returns the caller addresses of the VMs for callers of the region, at most 64: of the live VMs that accept
// requests in that region, those with the most capacity (lookup_tiers.h), or if there are none, those of all
// regions. The choice for a region is kept for `lookup_choice_lifetime`, but not if a listed VM has stopped
// accepting requests or is no longer alive.
[[nodiscard]] std::vector<socket_address> choose_vm_addresses(node_core& core, const std::string& region);

} // namespace cassiaspan
