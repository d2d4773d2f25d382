#include "accept_loop.h"

#include "background_task.h"

namespace cassiaspan {

namespace {

// Pause after an accept error, so that the loop does not spin while no file descriptors are left.
constexpr milliseconds accept_error_backoff{20};
// Connections younger than this are not closed for others: their requests may just be arriving.
constexpr milliseconds min_connection_age{1000};

// The open connections of one listener.
struct limited_listener {
    connection_handler handler;
    eviction_list connections;
};

asio::awaitable<void> serve_limited(node_core& core, std::shared_ptr<limited_listener> listener,
                                    std::shared_ptr<tcp::socket> socket) {
    const auto& budget = core.memory.budget;
    if (budget && listener->connections.size() >= budget->max_listener_connections) {
        ++core.metrics.connections_refused_by_reason["listener"];
        core.log.write(now_of(core), node_event::connection_closed,
                       log_fields().add("reason", "listener").add("open", listener->connections.size()));
        if (!listener->connections.evict_oldest(now_of(core), min_connection_age)) {
            co_return;
        }
    }
    evictable listed(listener->connections, waiting_caller{remote_address(*socket), caller_stage::body},
                     now_of(core), {}, [socket = socket.get()] {
                         error_code ignored;
                         socket->close(ignored);
                     });
    co_await listener->handler(std::move(socket));
}

} // namespace

connection_handler limit_connections(node_core& core, connection_handler handler) {
    auto listener = std::make_shared<limited_listener>();
    listener->handler = std::move(handler);
    return [&core, listener](std::shared_ptr<tcp::socket> socket) {
        return serve_limited(core, listener, std::move(socket));
    };
}

bool admit_peer_connection(node_core& core, peer_connections& connections, caller_source source) {
    const auto& budget = core.memory.budget;
    if (budget && connections.open >= budget->max_peer_connections) {
        ++core.metrics.connections_refused_by_reason["peer"];
        core.log.write(now_of(core), node_event::connection_closed,
                       log_fields().add("reason", "peer").add("open", connections.open));
    }
    return admit_peer(core.memory, connections, source, now_of(core));
}

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
