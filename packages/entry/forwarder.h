// Sends a request to a target and its answer back to the caller.
#pragma once

#include "caller_connection.h"
#include "clock.h"
#include "http_client.h"
#include "request_head.h"
#include "target_registry.h"
#include "watchdog.h"

#include <functional>
#include <string>

namespace cassiaspan {

// How one attempt ended.
enum class attempt_outcome {
    // The whole answer went to the caller, or was collected.
    answered,
    // No byte of the request left, or the target said that it did not run it.
    not_run,
    // The request may have run; nothing of an answer went to the caller.
    failed,
    // The answer broke off after a part of it went to the caller; the connection was cut.
    cut,
    // The caller's body broke off, or its key was withdrawn meanwhile.
    caller_gone
};

// What one attempt needs.
struct attempt_input {
    const request_head& head;
    const std::string& forward_head;
    const std::string& body_prefix;
    // Whether the body goes on after the prefix.
    bool body_goes_on = false;
    bool non_idempotent = false;
    instant deadline;
    std::string request_id;
    // Largest answer body that is collected for an idempotency record, in bytes; 0 collects none.
    std::size_t collect_bytes = 0;
    // The caller's socket, to notice that it hung up; negative when unknown.
    int caller_socket = -1;
    // Asked before each further part of the body: may the request go on?
    std::function<bool()> still_allowed;
};

// What came of one attempt.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::failed;
    int status = 0;
    bool shed = false;
    // The target closed the connection without an answer, as one does that has died.
    bool died = false;
    // Whether the body was read beyond its prefix, so that the request cannot be sent again.
    bool body_consumed = false;
    std::string content_type;
    std::string collected;
    bool collected_whole = false;
};

// Makes one attempt at the target of `slot`.
[[nodiscard]] attempt_result attempt(const attempt_input& input, const target_slot& slot,
                                     caller_connection& caller, watchdog& guard, const clock& time);

} // namespace cassiaspan
