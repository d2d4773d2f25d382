// Short names of the networking library's types, and helpers for operations that report errors by value.
//
// GCC 12 miscompiles co_await inside conditions, // Short names of the networking library's types, and
// helpers for operations that report errors by value.// Short names of the networking library's types, and
// helpers for operations that report errors by value. and ?: and beside temporaries of aggregate types: every
// co_await stands in a statement of its own.
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

// Completion token of an operation that reports its error in `error`.
inline auto capture_error(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

// Converts an address; the host must be numeric.
[[nodiscard]] tcp::endpoint to_tcp_endpoint(const socket_address& address);
[[nodiscard]] udp::endpoint to_udp_endpoint(const socket_address& address);
[[nodiscard]] std::string format_address(const socket_address& address);

// Binds and listens, or says why not.
[[nodiscard]] error_code bind_and_listen(tcp::acceptor& acceptor, const socket_address& address);

// Sets what all streams use: no delay, and an early error when the other side is silent.
void set_tcp_options(tcp::socket& socket, milliseconds user_timeout);

// Waits.
asio::awaitable<void> sleep_for(asio::io_context& context, nanoseconds time);

} // namespace cassiaspan
