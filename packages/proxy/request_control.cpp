#include "request_control.h"

namespace cassiaspan {

void interrupt(request_control& control) {
    if (control.active != nullptr) {
        error_code ignored;
        control.active->close(ignored);
    }
}

void time_out(request_control& control) {
    if (!control.finished) {
        control.timed_out = true;
        interrupt(control);
    }
}

asio::awaitable<void> watch_caller(std::shared_ptr<tcp::socket> socket, control_ptr control) {
    error_code error;
    co_await socket->async_wait(tcp::socket::wait_read, into(error));
    if (error || control->finished) {
        co_return;
    }
    char byte = 0;
    const std::size_t count = socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    // A byte is the caller's next request: its end is then seen when that request is read.
    if (error != asio::error::would_block && (error || count == 0)) {
        control->caller_left = true;
        interrupt(*control);
    }
}

} // namespace cassiaspan
