// Answers small questions without bodies, such as readiness checks, look-ups and metrics.
#pragma once

#include "node_core.h"

#include <functional>

namespace cassiaspan {

using small_request = http::request<http::empty_body>;
using small_response = http::response<http::string_body>;
using small_handler = std::function<small_response(const small_request&)>;

// Serves connections until the acceptor is closed.
asio::awaitable<void> serve_small_requests(node_core& core, tcp::acceptor& acceptor, small_handler handler);

// Answers readiness checks.
[[nodiscard]] small_response answer_ready_check(const node_core& core, const small_request& request);

// Answers look-ups: the VMs that a caller is to use.
[[nodiscard]] small_response answer_lookup(const node_core& core, const small_request& request);

// Answers metric collectors.
[[nodiscard]] small_response answer_metrics(const node_core& core, const small_request& request);

// Returns the VMs that a caller of that region is to use: all that accept work and were heard lately, those
// of the region where there are any.
[[nodiscard]] std::vector<socket_address> choose_vms(const node_core& core, const std::string& region);

} // namespace cassiaspan
