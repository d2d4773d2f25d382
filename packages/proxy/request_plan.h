// The passes that decide a request before anything is sent: route, workspace, contract, service. Each pass
// either adds to the plan or answers the caller at once.
#pragma once

#include "node_core.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// A caller's request as it was read.
struct caller_request {
    http::request_header<> head;
    std::string body;
    // The body continues beyond what is buffered.
    bool has_unbuffered_body = false;
    std::optional<std::uint64_t> body_length;
    instant received_at;
    std::string id;
    // When the caller gives up; nothing where it does not say.
    std::optional<milliseconds> timeout;
};

// What has been decided of a request.
struct request_plan {
    // Keeps the rules alive that the pointers below lead to, when a newer version arrives meanwhile.
    std::shared_ptr<const steering_config> config;
    const route_rule* route = nullptr;
    // Nothing on open routes.
    const workspace_rule* workspace = nullptr;
    std::string service;
    std::optional<std::uint64_t> affinity;
    int priority = 0;
    // When the caller must have an answer.
    instant deadline;
    // When an answer is still of full use.
    instant objective_deadline;
    // Names the request across repeats by its caller.
    std::uint64_t fingerprint = 0;
};

// An answer of this VM's own.
struct local_reply {
    unsigned status = 503;
    // A word for logs and metrics, also the body.
    std::string reason;
    std::optional<milliseconds> retry_after;
    auto operator<=>(const local_reply&) const = default;
};

// Runs all passes.
[[nodiscard]] tl::expected<request_plan, local_reply> plan_request(node_core& core,
                                                                   const caller_request& request);

// Charges the workspace for the request, which is about to be sent: a request that is refused for want of a
// target costs its workspace nothing. Returns the answer when the workspace is over its rate.
[[nodiscard]] std::optional<local_reply> consume_workspace_token(node_core& core, const request_plan& plan);

// Reads the id and the deadline out of the head.
void parse_caller_headers(const node_core& core, caller_request& request);

} // namespace cassiaspan
