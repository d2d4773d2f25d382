// Ends a request's work early: when its time is over, or when its caller has gone.
#pragma once

#include "asio_types.h"
#include "deadline_list.h"

#include <memory>

namespace cassiaspan {

// Shared by the request, its deadline and the watch on its caller.
struct request_control {
    bool timed_out = false;
    bool caller_left = false;
    bool finished = false;
    // The target's socket that the request is waiting on.
    tcp::socket* active = nullptr;
};

using control_ptr = std::shared_ptr<request_control>;

// Returns whether the request is to be given up.
[[nodiscard]] inline bool is_interrupted(const request_control& control) {
    return control.timed_out || control.caller_left;
}

// Closes the target's socket, which ends whatever waits on it.
void interrupt(request_control& control);

// Marks the request as out of time and interrupts it.
void time_out(request_control& control);

// Interrupts the request when the caller closes its connection. Bytes that arrive meanwhile stay unread.
asio::awaitable<void> watch_caller(std::shared_ptr<tcp::socket> socket, control_ptr control);

} // namespace cassiaspan
