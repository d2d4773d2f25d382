// Plans a request before anything is sent to a target: finds its route, authenticates its workspace, checks
// the quarantine and the workspace's rate limit, and chooses the service. Each step either adds to the plan
// or ends planning with a reply of this VM.
#pragma once

#include "node_core.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// A caller's request: its header, and its body as far as it is buffered.
struct caller_request {
    http::request_header<> head;
    std::string body;
    // Whether the body is longer than the part that is buffered in `body`.
    bool has_unbuffered_body = false;
    // Content-Length in bytes, if the header has one.
    std::optional<std::uint64_t> body_length;
    // When the request reached this VM: the time at which reading began, less the delay of the event loop.
    instant received_at;
    // Value of the request id header; empty if there is none.
    std::string id;
    // How long the caller waits, counted from `received_at`. Unset if the caller sent no deadline header.
    std::optional<milliseconds> timeout;
};

// The result of planning a request.
struct request_plan {
    // Keeps the rules that `route` and `workspace` point to alive when a newer configuration is adopted while
    // the request runs.
    std::shared_ptr<const steering_config> config;
    const route_rule* route = nullptr;
    // Null on open routes and if no workspaces are configured.
    const workspace_rule* workspace = nullptr;
    std::string service;
    // Hash of the affinity key; unset if the route has no affinity or the request has no key.
    std::optional<std::uint64_t> affinity_hash;
    // 0 is the most urgent.
    int priority = 0;
    // The request is cancelled at this time.
    instant deadline;
    // A response up to this time meets the latency objective of the route. Not later than `deadline`.
    instant objective_deadline;
    // Hash of the workspace, method, path with query, and buffered body. Equal for retries by the caller;
    // identifies the request in the quarantine.
    std::uint64_t fingerprint = 0;
};

// A response that this VM generates itself, without a target.
struct local_reply {
    // HTTP status code.
    unsigned status = 503;
    // One word, used as the response body and as the outcome in logs and metrics.
    std::string reason;
    // Value of the Retry-After header, if it is sent.
    std::optional<milliseconds> retry_after;
    auto operator<=>(const local_reply&) const = default;
};

// The reply to a request whose body is longer than the configuration allows. No target has run the request:
// none received it completely.
inline const local_reply body_too_large_reply{413, "body_too_large", {}};

// Plans the request. Returns the reply to send if the request is refused: 503 "starting" without a
// configuration, 503 "stopping" during shutdown, 404 "no_route", 401 "unknown_key", 503 "quarantined" or 429
// "over_rate". Also counts the request in the demand and retry budget of its service.
[[nodiscard]] tl::expected<request_plan, local_reply> plan_request(node_core& core,
                                                                   const caller_request& request);

// Takes a token from the workspace's token bucket. Call this just before the first attempt, so that a request
// that is refused because no target is available uses no token. Returns the reply if the workspace is over
// its rate, otherwise nothing.
[[nodiscard]] std::optional<local_reply> consume_workspace_token(node_core& core, const request_plan& plan);

// Sets the id and the timeout of the request from its header. A deadline that does not begin with
// a positive integer is ignored.
void parse_caller_headers(const node_core& core, caller_request& request);

} // namespace cassiaspan
