// Runs a planned request: chooses targets, sends, repeats where that is safe and within the budget, and says
// what the caller gets.
#pragma once

#include "request_plan.h"
#include "target_attempt.h"

#include <variant>

namespace cassiaspan {

// The target's whole answer.
struct target_response {
    http::response_header<> head;
    std::string body;
    std::string target;
    // Requests at the target when this one was sent, over all VMs, as far as this VM knew.
    double load = 0;
    // Time of the attempt that was answered.
    milliseconds latency{};
    // Why this target was chosen.
    const char* selection_reason = "";
};

// The answer has been written already, or there is nobody to write it to.
struct nothing_to_write {
    // The caller's connection can be used further.
    bool connection_reusable = false;
};

using forward_result = std::variant<target_response, local_reply, nothing_to_write>;

// Forwards the request.
asio::awaitable<forward_result> forward_request(node_core& core, const caller_request& request,
                                                const request_plan& plan, body_source rest,
                                                cancellation_ptr control, const response_sink& sink);

// Returns whether the header concerns one connection only.
[[nodiscard]] bool is_hop_by_hop(const http::fields& fields, boost::beast::string_view name);

} // namespace cassiaspan
