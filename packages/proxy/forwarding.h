// Forwards a planned request: selects targets, sends it, retries where that is safe and within the retry
// budget, and returns the response for the caller.
#pragma once

#include "request_plan.h"
#include "target_attempt.h"

#include <variant>

namespace cassiaspan {

// A complete response of a target.
struct target_response {
    http::response_header<> head;
    std::string body;
    // Id of the target that responded.
    std::string target;
    // Estimated number of requests at the target, from all VMs, when this one was sent.
    double load_at_send = 0;
    // Slowdown that was expected of the target's machine; empty if the target had reported none.
    std::optional<double> expected_slowdown;
    // Duration of the attempt that succeeded, without earlier attempts.
    milliseconds latency{};
    // Why this target was chosen: to_string of the placement_reason.
    const char* selection_reason = "";
};

// The response was streamed to the caller, in whole or in part, or the caller has disconnected.
struct nothing_to_write {
    // Whether the caller's connection can serve further requests.
    bool connection_reusable = false;
};

using forward_result = std::variant<target_response, local_reply, nothing_to_write>;

// Forwards the request, unless admission control refuses it; `plan` then tells what was decided. A request
// that finds no free slot may wait for one before its first attempt. Takes the body out of `request`;
// `remaining_body` supplies the part that is not buffered, `sink` receives a response that is too large to be
// buffered. Returns a local_reply if the request is refused, no target is available, or all attempts failed.
asio::awaitable<forward_result> forward_request(node_core& core, caller_request& request, request_plan& plan,
                                                body_source remaining_body, cancellation_ptr cancellation,
                                                const response_sink& sink);

// Returns whether `name` is a hop-by-hop header (RFC 9110, section 7.6.1): one of the fixed list, or one that
// is listed in the Connection header of `fields`. These are not forwarded.
[[nodiscard]] bool is_hop_by_hop(const http::fields& fields, boost::beast::string_view name);

// Returns whether the message has a Transfer-Encoding other than "chunked" alone. The parser ignores such a
// field, so that the end of the body is not known.
[[nodiscard]] bool has_unknown_transfer_coding(const http::fields& fields);

} // namespace cassiaspan
