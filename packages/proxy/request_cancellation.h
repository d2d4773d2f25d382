// Ends a request's work early: when its time is over, or when its caller has gone.
#pragma once

#include "asio_types.h"
#include "deadline_list.h"

#include <memory>

namespace cassiaspan {

// Shared by the request, its deadline and the watch on its caller.
struct request_cancellation {
    bool timed_out = false;
    bool caller_left = false;
    bool finished = false;
    // The target's socket that the request is waiting on.
    tcp::socket* active_socket = nullptr;
};

using cancellation_ptr = std::shared_ptr<request_cancellation>;

// Returns whether the request is to be given up.
[[nodiscard]] inline bool is_cancelled(const request_cancellation& control) {
    return control.timed_out || control.caller_left;
}

// Closes the target's socket, which ends whatever waits on it.
void close_active_socket(request_cancellation& control);

// Marks the request as out of time and interrupts it.
void cancel_on_timeout(request_cancellation& control);

// Interrupts the request when the caller closes its connection. Bytes that arrive meanwhile stay unread.
asio::awaitable<void> watch_for_caller_disconnect(std::shared_ptr<tcp::socket> socket,
                                                  cancellation_ptr control);

} // namespace cassiaspan
