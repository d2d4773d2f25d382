#include "target_connections.h"

#include "reach_tracking.h"
#include "stable_hash.h"

#include <algorithm>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

// Idle time after which a pooled connection is closed if the target sends no Keep-Alive timeout.
constexpr milliseconds default_max_idle_time{5000};
// Pooled connections are closed after the target's Keep-Alive timeout divided by this.
constexpr int keep_alive_divisor = 2;
// TCP_USER_TIMEOUT of connections to targets: how long sent bytes may stay unacknowledged before the
// connection fails.
constexpr milliseconds target_user_timeout{1200};
// Connect timeout while no round trip to the target has been measured. Otherwise it is a multiple of the
// round trip, with a lower bound.
constexpr milliseconds default_connect_timeout{500};
constexpr milliseconds min_connect_timeout{200};
constexpr int connect_timeout_round_trips = 5;
// A connection is closed after this many refused requests, so that it need not remember more ids.
constexpr std::size_t max_refusals = 256;
// Lower bound of the connections that this VM may have to one target.
constexpr std::size_t min_connections = 4;

milliseconds connect_timeout(const target_record& target) {
    if (target.health.round_trip == milliseconds(0)) {
        return default_connect_timeout;
    }
    return std::max(min_connect_timeout, target.health.round_trip * connect_timeout_round_trips);
}

// Returns whether the socket has nothing to read. An idle connection that can be reused has neither reached
// its end nor received bytes, which would belong to no request.
bool has_no_pending_input(tcp::socket& socket) {
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns how long the connection may stay idle in the pool.
milliseconds max_idle_time(const target_connection& connection) {
    return connection.keep_alive_timeout == milliseconds(0)
               ? default_max_idle_time
               : connection.keep_alive_timeout / keep_alive_divisor;
}

// Returns whether a second copy of an earlier refusal could be taken for the response to this request.
bool has_refused(const target_connection& connection, std::string_view request_id) {
    const auto& ids = connection.refused_ids;
    return std::find(ids.begin(), ids.end(), stable_hash(request_id)) != ids.end();
}

} // namespace

std::unique_ptr<target_connection> take_idle_connection(target_record& target, instant now,
                                                        milliseconds max_idle, std::string_view request_id) {
    while (!request_id.empty() && !target.idle_connections.empty()) {
        std::unique_ptr<target_connection> connection = std::move(target.idle_connections.back());
        target.idle_connections.pop_back();
        const auto idle = now - connection->last_used;
        if (idle <= std::min(max_idle, max_idle_time(*connection)) && !has_refused(*connection, request_id) &&
            has_no_pending_input(connection->socket)) {
            return connection;
        }
        record_connection_closed(target);
    }
    return nullptr;
}

asio::awaitable<std::unique_ptr<target_connection>> open_connection(node_core& core, target_ptr target,
                                                                    cancellation_ptr cancellation) {
    auto connection = std::make_unique<target_connection>(core.context);
    tcp::socket& socket = connection->socket;
    const instant started_at = now_of(core);
    std::optional<scoped_deadline> timeout;
    // Cancels instead of closing: on a busy VM, the connection may be open already.
    timeout.emplace(core.deadlines, started_at + connect_timeout(*target), [&socket] {
        error_code ignored;
        socket.cancel(ignored);
    });
    ++target->open_connections;
    ++core.metrics.target_connections;
    cancellation->active_socket = &socket;
    error_code error;
    const tcp::endpoint endpoint = to_tcp_endpoint(target->info.address);
    if (core.memory.budget) {
        // Must be set before the connection is established. If it cannot be opened, connecting fails too.
        const auto bytes = static_cast<int>(core.memory.budget->target_receive_buffer);
        socket.open(endpoint.protocol(), error);
        socket.set_option(asio::socket_base::receive_buffer_size(bytes), error);
        limit_unsent_bytes(socket.native_handle(), core.memory.budget->unsent_bytes);
    }
    co_await socket.async_connect(endpoint, capture_error(error));
    cancellation->active_socket = nullptr;
    timeout.reset();
    if (error || is_cancelled(*cancellation)) {
        if (!is_cancelled(*cancellation) && !target->is_peer) {
            record_target_failure(core, *target);
        }
        record_connection_closed(*target);
        co_return nullptr;
    }
    set_tcp_options(socket, target_user_timeout);
    record_connect_time(target->health, std::chrono::ceil<milliseconds>(now_of(core) - started_at));
    if (!target->is_peer) {
        record_target_contact(core, *target);
    }
    co_return connection;
}

void record_connection_closed(target_record& target) {
    target.open_connections -= target.open_connections > 0 ? 1 : 0;
}

void record_refusal(target_connection& connection, std::string_view request_id) {
    connection.refused_ids.push_back(stable_hash(request_id));
}

void pool_connection(target_record& target, std::unique_ptr<target_connection> connection, instant now) {
    if (connection->refused_ids.size() >= max_refusals) {
        record_connection_closed(target);
        return;
    }
    connection->last_used = now;
    connection->buffer.shrink_to_fit();
    target.idle_connections.push_back(std::move(connection));
}

void close_expired_connections(target_record& target, instant now) {
    auto& idle = target.idle_connections;
    const auto is_expired = [now](const std::unique_ptr<target_connection>& connection) {
        return now - connection->last_used > max_idle_time(*connection);
    };
    const auto first_expired = std::remove_if(idle.begin(), idle.end(), is_expired);
    target.open_connections -=
        std::min<std::size_t>(target.open_connections, static_cast<std::size_t>(idle.end() - first_expired));
    idle.erase(first_expired, idle.end());
}

std::size_t connection_limit(const node_core& core, const target_record& target) {
    const service_rule* service = core.config ? core.config->find_service(target.info.service) : nullptr;
    if (service == nullptr || service->max_connections == 0) {
        return core.settings.max_open_files;
    }
    return std::max(min_connections, service->max_connections / count_bucket_replicas(core).total);
}

} // namespace cassiaspan
