// Aliases for types of Boost.Asio and Boost.Beast, and helpers for sockets and for operations that report
// errors by value.
//
// GCC 12 miscompiles co_await inside conditions, && and ?:, and in full expressions with temporaries of
// aggregate types. Therefore every co_await must be in a statement of its own.
#pragma once

// Boost 1.74's awaitable.hpp needs std::exchange, but does not include its header.
#include <utility>

#include "address.h"
#include "clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>

namespace cassiaspan {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

// Returns the completion token for an awaitable operation that stores its error in `error` and does not
// throw.
inline auto capture_error(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

// Converts an address to an endpoint. The host must be a numeric IP address; otherwise these throw
// boost::system::system_error.
[[nodiscard]] tcp::endpoint to_tcp_endpoint(const socket_address& address);
[[nodiscard]] udp::endpoint to_udp_endpoint(const socket_address& address);
// Returns the address as "host:port".
[[nodiscard]] std::string format_address(const socket_address& address);

// Returns the remote IPv4 address as a number; 0 if there is none, as once the connection has ended.
[[nodiscard]] std::uint32_t remote_address(const tcp::socket& socket);

// Opens the acceptor, binds it to the address and listens. Returns the error of the first step that failed.
[[nodiscard]] error_code bind_and_listen(tcp::acceptor& acceptor, const socket_address& address);

// Sets the options that all TCP connections use: TCP_NODELAY, and TCP_USER_TIMEOUT, which ends the connection
// when sent data is not acknowledged within `user_timeout`.
void set_tcp_options(tcp::socket& socket, milliseconds user_timeout);

// Bounds what the kernel takes of written bytes beyond those that the receiver's window lets it send
// (TCP_NOTSENT_LOWAT, bytes). By default it takes some megabytes for a receiver that reads nothing. Accepted
// connections inherit the option from their listener.
void limit_unsent_bytes(int descriptor, std::size_t bytes);

// Suspends the coroutine for `time`.
asio::awaitable<void> sleep_for(asio::io_context& context, nanoseconds time);

} // namespace cassiaspan
