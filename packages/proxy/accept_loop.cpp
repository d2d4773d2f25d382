#include "accept_loop.h"

#include "background_task.h"

namespace cassiaspan {

namespace {

// Pause after an accept error, so that the loop does not spin while no file descriptors are left.
constexpr milliseconds accept_error_backoff{20};

} // namespace

asio::awaitable<void> accept_connections(node_core& core, tcp::acceptor& acceptor,
                                         connection_handler handler) {
    for (;;) {
        auto socket = std::make_shared<tcp::socket>(core.context);
        error_code error;
        co_await acceptor.async_accept(*socket, capture_error(error));
        // A connection may have been accepted just before the acceptor was closed; it is served all the same.
        if (!error) {
            spawn_task(core, "connection", handler(std::move(socket)));
        }
        if (!acceptor.is_open() || error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            core.log.write(now_of(core), node_event::internal_error,
                           log_fields().add("what", "accept").add("why", error.message()));
            co_await sleep_for(core.context, accept_error_backoff);
        }
    }
}

} // namespace cassiaspan
