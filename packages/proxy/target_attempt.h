// One attempt of a request: sends it to one target and reads the response.
#pragma once

#include "node_core.h"
#include "request_cancellation.h"
#include "retry_rules.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cassiaspan {

// The part of a caller's body that was not buffered.
struct body_source {
    // Reads the next chunk and stores it in `chunk`. An empty chunk is the end of the body. Returns false if
    // the read was stopped or the caller's connection failed; the request is then cancelled as one whose
    // caller left.
    std::function<asio::awaitable<bool>(std::string& chunk)> read;
    // Makes the pending read, if any, return false.
    std::function<void()> stop;

    explicit operator bool() const { return static_cast<bool>(this->read); }
};

// Receives a response that is too large to be buffered, in chunks. `begin` and `write` return false if
// writing to the caller failed.
struct response_sink {
    // Sends the header. `length` is the Content-Length in bytes, or unset if the target sent none.
    std::function<asio::awaitable<bool>(const http::response_header<>& head,
                                        std::optional<std::uint64_t> length)>
        begin;
    // Sends `size` bytes of the body.
    std::function<asio::awaitable<bool>(const char* data, std::size_t size)> write;
    // Ends the response. If `complete` is false, the caller must be able to see that it was truncated.
    std::function<asio::awaitable<void>(bool complete)> finish;
};

// A request as it is sent to a target.
struct outgoing_request {
    http::request_header<> head;
    // The buffered part of the body. Refers to the body of the caller's request, which must outlive it.
    std::string_view body;
    // Source of the part of the body that follows `body`; empty if `body` is the whole body.
    body_source remaining_body;
    // Request id; the target echoes it in its response.
    std::string id;
    // Idempotent requests may use pooled connections that have been idle for longer.
    bool is_idempotent = false;
    // Whether the caller is a peer, which is told which target responded.
    bool is_relayed = false;
    // Whether the target is known to have handled the request's affinity key recently. Unset if the request
    // has no affinity key.
    std::optional<bool> target_is_warm;
};

// The result of an attempt.
struct attempt_result {
    attempt_end outcome = attempt_end::unreachable;
    // Header and body of the response; the body is empty if it was streamed.
    http::response_header<> head;
    std::string body;
    // The response was passed to the sink, at least in part.
    bool streamed = false;
    // The target that responded to a peer on behalf of this VM; empty if the attempt was made directly.
    std::string relayed_target;
    // For an attempt at a peer: the number of targets that the request was sent to, if the peer says so.
    std::optional<std::size_t> relayed_attempts;
    // The peer serves no requests for others at present.
    bool relay_refused = false;
    // The response was streamed and the caller did not take it.
    bool caller_failed = false;
    // Duration of the whole attempt.
    milliseconds latency{};
    // The part of `latency` that was spent at the target: without opening a connection and without the
    // network round trip. At least 1 ms.
    milliseconds target_time{};
    // Estimated number of requests at the target, from all VMs, when this one was sent.
    double load_at_send = 0;
    // Slowdown of the target's machine (target_speed.h): as believed when the request was sent, empty if the
    // target had reported none; as reported shortly before the request was sent; as reported in the response.
    std::optional<double> expected_slowdown;
    std::optional<double> slowdown_at_send;
    std::optional<double> slowdown_at_end;
    // Cause of the failure, for the log.
    std::string detail;
};

// Sends the request to the target and reads the response, over a pooled connection or a new one. Failures are
// reported in the result. Updates the in-flight count, load and speed reports, cold state and health of the
// target, and the time averages of its service, and whether the service is in reach. If the target is a peer
// that relays the request, the load, speed and cold state are those of the target that it names in the
// response. Cancelling
// `cancellation` ends the attempt early.
asio::awaitable<attempt_result> run_attempt(node_core& core, target_ptr target,
                                            const outgoing_request& request, cancellation_ptr cancellation,
                                            const response_sink& sink);

} // namespace cassiaspan
