#include "target_connections.h"

#include <algorithm>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

// Idle time after which a kept connection is closed, where the target does not tell its own.
constexpr milliseconds default_keep_alive{5000};
// Part of the target's own idle time that is used.
constexpr int keep_alive_divisor = 2;
// Silence of a target's machine, counted from the first unacknowledged byte, that ends a connection.
constexpr milliseconds target_silence{1200};
// Longest time for opening a connection while the way to the target is unknown.
constexpr milliseconds unknown_connect_timeout{500};
constexpr milliseconds min_connect_timeout{200};
constexpr int round_trips_to_connect = 5;
constexpr std::size_t min_connections = 4;

milliseconds connect_timeout(const target_record& target) {
    if (target.health.round_trip == milliseconds(0)) {
        return unknown_connect_timeout;
    }
    return std::max(min_connect_timeout, target.health.round_trip * round_trips_to_connect);
}

// A sound idle connection has nothing to read: neither an end nor bytes that belong to no request.
bool is_silent(tcp::socket& socket) {
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

milliseconds usable_idle_time(const target_connection& connection) {
    return connection.keep_alive == milliseconds(0) ? default_keep_alive
                                                    : connection.keep_alive / keep_alive_divisor;
}

} // namespace

std::unique_ptr<target_connection> take_idle_connection(target_record& target, instant now,
                                                        milliseconds max_idle) {
    while (!target.idle_connections.empty()) {
        std::unique_ptr<target_connection> connection = std::move(target.idle_connections.back());
        target.idle_connections.pop_back();
        const auto idle = now - connection->last_used;
        if (idle <= std::min(max_idle, usable_idle_time(*connection)) && is_silent(connection->socket)) {
            return connection;
        }
        record_connection_closed(target);
    }
    return nullptr;
}

asio::awaitable<std::unique_ptr<target_connection>> open_connection(node_core& core, target_ptr target,
                                                                    cancellation_ptr control) {
    auto connection = std::make_unique<target_connection>(core.context);
    tcp::socket& socket = connection->socket;
    const instant begun = now_of(core);
    bool timed_out = false;
    std::optional<scoped_deadline> timeout;
    timeout.emplace(core.deadlines, begun + connect_timeout(*target), [&timed_out, &control] {
        timed_out = true;
        close_active_socket(*control);
    });
    ++target->open_connections;
    ++core.metrics.target_connections;
    control->active_socket = &socket;
    error_code error;
    co_await socket.async_connect(to_tcp_endpoint(target->info.address), capture_error(error));
    control->active_socket = nullptr;
    timeout.reset();
    if (error || timed_out || is_cancelled(*control)) {
        record_connection_closed(*target);
        co_return nullptr;
    }
    set_tcp_options(socket, target_silence);
    record_connect_time(target->health, std::chrono::ceil<milliseconds>(now_of(core) - begun));
    co_return connection;
}

void record_connection_closed(target_record& target) {
    target.open_connections -= target.open_connections > 0 ? 1 : 0;
}

void pool_connection(target_record& target, std::unique_ptr<target_connection> connection, instant now) {
    connection->last_used = now;
    connection->buffer.shrink_to_fit();
    target.idle_connections.push_back(std::move(connection));
}

void close_expired_connections(target_record& target, instant now) {
    auto& idle = target.idle_connections;
    const auto is_old = [now](const std::unique_ptr<target_connection>& connection) {
        return now - connection->last_used > usable_idle_time(*connection);
    };
    const auto first = std::remove_if(idle.begin(), idle.end(), is_old);
    target.open_connections -=
        std::min<std::size_t>(target.open_connections, static_cast<std::size_t>(idle.end() - first));
    idle.erase(first, idle.end());
}

std::size_t connection_limit(const node_core& core, const target_record& target) {
    const service_rule* service = core.config ? core.config->find_service(target.info.service) : nullptr;
    if (service == nullptr || service->max_connections == 0) {
        return core.settings.max_open_files;
    }
    return std::max(min_connections, service->max_connections / count_bucket_replicas(core).total);
}

} // namespace cassiaspan
