// Answers small questions without bodies, such as readiness checks, look-ups and metrics.
#pragma once

#include "node_core.h"

#include <functional>

namespace cassiaspan {

using simple_request = http::request<http::empty_body>;
using simple_response = http::response<http::string_body>;
using simple_handler = std::function<simple_response(const simple_request&)>;

// Serves connections until the acceptor is closed.
asio::awaitable<void> serve_simple_requests(node_core& core, tcp::acceptor& acceptor, simple_handler handler);

// Answers readiness checks.
[[nodiscard]] simple_response answer_readiness_check(const node_core& core, const simple_request& request);

// Answers look-ups: the VMs that a caller is to use.
[[nodiscard]] simple_response answer_lookup(const node_core& core, const simple_request& request);

// Answers metric collectors.
[[nodiscard]] simple_response answer_metrics(const node_core& core, const simple_request& request);

// Returns the VMs that a caller of that region is to use: all that accept work and were heard lately, those
// of the region where there are any.
[[nodiscard]] std::vector<socket_address> choose_vm_addresses(const node_core& core,
                                                              const std::string& region);

} // namespace cassiaspan
