#include "request_cancellation.h"

namespace cassiaspan {

void close_active_socket(request_cancellation& control) {
    if (control.active_socket != nullptr) {
        error_code ignored;
        control.active_socket->close(ignored);
    }
}

void cancel_on_timeout(request_cancellation& control) {
    if (!control.finished) {
        control.timed_out = true;
        close_active_socket(control);
    }
}

asio::awaitable<void> watch_for_caller_disconnect(std::shared_ptr<tcp::socket> socket,
                                                  cancellation_ptr control) {
    error_code error;
    co_await socket->async_wait(tcp::socket::wait_read, capture_error(error));
    if (error || control->finished) {
        co_return;
    }
    char byte = 0;
    const std::size_t count = socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    // A byte is the caller's next request: its end is then seen when that request is read.
    if (error != asio::error::would_block && (error || count == 0)) {
        control->caller_left = true;
        close_active_socket(*control);
    }
}

} // namespace cassiaspan
