#include "request_cancellation.h"

namespace cassiaspan {

void close_active_socket(request_cancellation& cancellation) {
    if (cancellation.active_socket != nullptr) {
        error_code ignored;
        cancellation.active_socket->close(ignored);
    }
    if (cancellation.active_wait != nullptr) {
        cancellation.active_wait->cancel();
    }
}

void cancel_on_timeout(request_cancellation& cancellation) {
    if (!cancellation.finished) {
        cancellation.timed_out = true;
        close_active_socket(cancellation);
    }
}

bool has_disconnected(tcp::socket& socket) {
    char byte = 0;
    error_code error;
    const std::size_t count = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block && (error || count == 0);
}

asio::awaitable<void> watch_for_caller_disconnect(std::shared_ptr<tcp::socket> socket,
                                                  cancellation_ptr cancellation) {
    error_code error;
    co_await socket->async_wait(tcp::socket::wait_read, capture_error(error));
    if (error || cancellation->finished) {
        co_return;
    }
    // Readable bytes are a pipelined request. A disconnect is then detected when that request is read.
    if (has_disconnected(*socket)) {
        cancellation->caller_left = true;
        close_active_socket(*cancellation);
    }
}

} // namespace cassiaspan
