#include "asio_types.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cassiaspan {

tcp::endpoint to_tcp_endpoint(const socket_address& address) {
    return {asio::ip::make_address(address.host), address.port};
}

udp::endpoint to_udp_endpoint(const socket_address& address) {
    return {asio::ip::make_address(address.host), address.port};
}

std::string format_address(const socket_address& address) {
    return address.host + ":" + std::to_string(address.port);
}

std::uint32_t remote_address(const tcp::socket& socket) {
    error_code error;
    const asio::ip::address address = socket.remote_endpoint(error).address();
    return !error && address.is_v4() ? address.to_v4().to_uint() : 0;
}

error_code bind_and_listen(tcp::acceptor& acceptor, const socket_address& address) {
    // Queue length for connections that arrive in a burst. The kernel caps it at its own limit
    // (net.core.somaxconn).
    constexpr int backlog = 1024;
    error_code error;
    const tcp::endpoint endpoint = to_tcp_endpoint(address);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        // Accepted connections inherit the option.
        acceptor.set_option(tcp::no_delay(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    return error;
}

void set_tcp_options(tcp::socket& socket, milliseconds user_timeout) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const unsigned timeout = static_cast<unsigned>(user_timeout.count());
    // Without the option, an unresponsive remote host is only detected later.
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout)));
}

void limit_unsent_bytes(int descriptor, std::size_t bytes) {
    const auto value = static_cast<unsigned>(bytes);
    // Where the system does not know the option, its own limits apply.
    static_cast<void>(::setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &value, sizeof(value)));
}

asio::awaitable<void> sleep_for(asio::io_context& context, nanoseconds time) {
    asio::steady_timer timer(context);
    timer.expires_after(time);
    error_code ignored;
    co_await timer.async_wait(capture_error(ignored));
}

} // namespace cassiaspan
