// Rules for the end of an attempt to send a request to a target: whether the request may be retried, and
// which status the caller receives.
#pragma once

#include "steering_config.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// How one attempt ended.
enum class attempt_end {
    // The target sent a complete response, or one that is already being forwarded to the caller.
    answered,
    // The target reported that it did not run the request: it is at capacity, or the time ran out before it
    // started.
    rejected,
    // The address now belongs to another target, which did not run the request.
    misdirected,
    // The connection could not be opened, or was closed before any byte of the request was accepted, so
    // nothing was sent.
    unreachable,
    // Nothing was sent, because the target asked for a pause while the connection was being opened.
    withheld,
    // The connection closed or the response was malformed; the request may have run.
    failed,
    // The route's timeout or the caller's deadline expired; the request may have run or may still be running.
    timed_out,
    // The caller closed its connection.
    caller_left
};

// Returns whether the request was sent to the target, at least in part.
[[nodiscard]] bool was_sent(attempt_end end);

// Returns whether the target may have run the request.
[[nodiscard]] bool may_have_run(attempt_end end);

// Returns whether a request of this kind may be executed more than once.
[[nodiscard]] bool may_be_repeated(request_kind kind);

// Returns whether a request of this kind may be retried on another target. The retry budget and the limit of
// attempts are checked separately.
[[nodiscard]] bool is_retryable(request_kind kind, attempt_end end);

// Returns the HTTP status of the VM's own response after the last attempt. `any_may_have_run` covers all
// attempts: 503 promises that the request did not run, so it is used only if none may have run. Otherwise the
// status is 504 after a timeout and 502 after any other failure.
[[nodiscard]] unsigned final_status(attempt_end last, bool any_may_have_run);

// Returns the name of the end for logs and metrics.
[[nodiscard]] const char* to_string(attempt_end end);

} // namespace cassiaspan
