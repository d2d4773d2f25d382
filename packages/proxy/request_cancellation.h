// Cancels a request when its deadline passes or its caller disconnects.
#pragma once

#include "asio_types.h"
#include "deadline_list.h"

#include <memory>

namespace cassiaspan {

// Cancellation state of one request. Shared by the request, its scoped_deadline and the coroutine that
// watches the caller's connection.
struct request_cancellation {
    // The deadline passed.
    bool timed_out = false;
    // The caller disconnected.
    bool caller_left = false;
    // The body turned out to be longer than allowed after a part of it was sent to a target.
    bool body_too_large = false;
    // Forwarding has ended; later deadlines and disconnects are ignored.
    bool finished = false;
    // The socket to a target that the request is using; null if there is none. Cancelling closes it.
    tcp::socket* active_socket = nullptr;
    // The timer for which the request waits; null if it does not wait. Cancelling ends the wait.
    asio::steady_timer* active_wait = nullptr;
};

using cancellation_ptr = std::shared_ptr<request_cancellation>;

// Returns whether the request timed out, its caller disconnected, or its body is too large.
[[nodiscard]] inline bool is_cancelled(const request_cancellation& cancellation) {
    return cancellation.timed_out || cancellation.caller_left || cancellation.body_too_large;
}

// Closes the active socket, if any, so that pending operations on it fail, and ends the active wait.
void close_active_socket(request_cancellation& cancellation);

// Marks the request as timed out and closes its active socket. Does nothing after the request has finished.
void cancel_on_timeout(request_cancellation& cancellation);

// Returns whether the caller has closed the connection, as far as the socket shows at once. Reads no bytes;
// returns false while there are bytes to read. The socket must be in non-blocking mode.
[[nodiscard]] bool has_disconnected(tcp::socket& socket);

// Waits until the caller's socket is readable, and cancels the request if the caller closed the connection.
// Reads no bytes from the socket. Once the caller sends bytes, a later disconnect is no longer detected here.
asio::awaitable<void> watch_for_caller_disconnect(std::shared_ptr<tcp::socket> socket,
                                                  cancellation_ptr cancellation);

} // namespace cassiaspan
