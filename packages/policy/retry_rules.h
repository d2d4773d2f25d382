// Decides what follows the end of one attempt at a target: whether the request may be sent again, and what
// its caller may truthfully be told.
#pragma once

#include "steering_config.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// How one attempt ended.
enum class attempt_end {
    // A whole answer of the target, or one that is already on its way to the caller.
    answered,
    // The target states that it did not run the request: it is full, or ran out of time before it began.
    rejected,
    // Another target has the address; it did not run the request.
    misdirected,
    // No connection, or one that was closed before a byte of the request was taken: nothing was sent.
    unreachable,
    // The connection ended, or the answer was malformed: the request may have run.
    failed,
    // The route's timeout or the caller's deadline passed: the request may have run, or still run.
    timed_out,
    // The caller has gone.
    caller_left
};

// Whether the request may have run once the attempt has ended so.
[[nodiscard]] bool may_have_run(attempt_end end);

// Whether the kind of request may be sent to a further target after such an end. The budget of repeats and
// the number of attempts are checked apart.
[[nodiscard]] bool is_retryable(request_kind kind, attempt_end end);

// The HTTP status of an answer of our own, after all attempts. `ever_may_have_run` covers all of them: only a
// request that cannot have run is refused with a status that promises so.
[[nodiscard]] unsigned final_status(attempt_end last, bool any_may_have_run);

// Returns a word for logs and metrics.
[[nodiscard]] const char* to_string(attempt_end end);

} // namespace cassiaspan
