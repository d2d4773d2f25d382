// Sends a request to one target and reads the answer.
#pragma once

#include "node_core.h"
#include "request_cancellation.h"
#include "retry_rules.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cassiaspan {

// Reads the part of a caller's body that was not buffered. Fills `chunk`; an empty one ends the body. False
// when the caller's connection failed.
using body_source = std::function<asio::awaitable<bool>(std::string& chunk)>;

// Takes an answer that is too large to be buffered, piece by piece.
struct response_sink {
    // Sends the head; `length` is nothing where the target does not tell it.
    std::function<asio::awaitable<bool>(const http::response_header<>& head,
                                        std::optional<std::uint64_t> length)>
        begin;
    std::function<asio::awaitable<bool>(const char* data, std::size_t size)> write;
    // Ends the answer. One that is not whole must not look complete.
    std::function<asio::awaitable<void>(bool whole)> finish;
};

// What is sent to a target.
struct outgoing_request {
    http::request_header<> head;
    // The buffered part of the body; the caller's request holds it.
    std::string_view body;
    // Where the rest of the body comes from, when `body` is not all.
    body_source rest;
    // Length of the whole body; nothing when it is only known at its end.
    std::optional<std::uint64_t> length;
    std::string id;
    bool may_repeat = false;
    // Whether the target has handled the request's object lately; nothing where the request names none.
    std::optional<bool> target_is_warm;
};

// What came of an attempt.
struct attempt_result {
    attempt_end end = attempt_end::unreachable;
    http::response_header<> head;
    std::string body;
    // The answer has been handed to the sink.
    bool streamed = false;
    milliseconds latency{};
    // The part of it that the target took: without opening a connection and without the way there and back.
    milliseconds target_time{};
    // Requests at the target when this one was sent, over all VMs, as far as this VM knew.
    double load = 0;
    std::string detail;
};

// Runs one attempt. The target's loads and health are brought up to date.
asio::awaitable<attempt_result> run_attempt(node_core& core, target_ptr target,
                                            const outgoing_request& request, cancellation_ptr control,
                                            const response_sink& sink);

} // namespace cassiaspan
