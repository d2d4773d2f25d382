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

// What another VM has decided about a request that this VM serves for it; see relay.h.
struct relayed_request {
    std::string service;
    // Empty if the request belongs to no workspace.
    std::string workspace;
    // Number of targets to which the request may be sent, at least 1.
    std::size_t attempts_left = 0;
    auto operator<=>(const relayed_request&) const = default;
};

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
    // Set if a peer sent the request on behalf of its caller.
    std::optional<relayed_request> relayed;
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
    // Number of targets to which the request may be sent.
    std::size_t max_attempts = 1;
    // 0 is the most urgent.
    int priority = 0;
    // The priority by which the request belongs to a class of its service, and what was decided about it.
    class_priority rank;
    admission_decision admission = admission_decision::none;
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
    // Number of targets to which the request was sent; unset if it is unknown.
    std::optional<std::size_t> attempts = 0;
    // Whether this VM serves no requests for peers at present, whatever their service.
    bool refuses_peers = false;
    auto operator<=>(const local_reply&) const = default;
};

// Returns whether a target may have run the request that ends with the reply: only 502 and 504 leave it open.
[[nodiscard]] inline bool may_have_run(const local_reply& reply) {
    constexpr unsigned status_bad_gateway = 502;
    constexpr unsigned status_gateway_timeout = 504;
    return reply.status == status_bad_gateway || reply.status == status_gateway_timeout;
}

// The reply to a request whose body is longer than the configuration allows. No target has run the request:
// none received it completely.
inline const local_reply body_too_large_reply{413, "body_too_large", {}};

// Plans the request. Returns the reply to send if the request is refused: 503 "starting" without a
// configuration, 503 "stopping" during shutdown, 404 "no_route", 401 "unknown_key", 503 "quarantined" or 429
// "over_rate". Also counts the request in the demand and retry budget of its service. For a request that a
// peer sent, the peer has done all of this apart from the route and the quarantine; it is refused with 503
// "relay_config" if this VM's newer configuration has no such workspace.
[[nodiscard]] tl::expected<request_plan, local_reply> plan_request(node_core& core,
                                                                   const caller_request& request);

// Takes a token from the workspace's token bucket. Call this just before the first attempt, so that a request
// that is refused because no target is available uses no token. Does nothing for a request of a peer, which
// has taken the token. Returns the reply if the workspace is over its rate, otherwise nothing.
[[nodiscard]] std::optional<local_reply> consume_workspace_token(node_core& core, const request_plan& plan,
                                                                 const caller_request& request);

// Sets the id and the timeout of the request from its header. A deadline that does not begin with
// a positive integer is ignored.
void parse_caller_headers(const node_core& core, caller_request& request);

} // namespace cassiaspan
