// Writes answers to callers: this VM's own, a target's whole answer, and large ones piece by piece.
#pragma once

#include "forwarding.h"
#include "node_core.h"
#include "socket_timeout.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace cassiaspan {

// One connection and what it is in the middle of.
struct caller_connection_state {
    caller_connection_state(node_core& core_in, std::shared_ptr<tcp::socket> socket_in)
        : core(core_in), socket(std::move(socket_in)) {}
    node_core& core;
    std::shared_ptr<tcp::socket> socket;
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
    // How long the connection may stay idle, as the caller was told with the last answer.
    std::optional<milliseconds> idle_timeout;
};

// Returns what callers may send, also before a configuration is there.
[[nodiscard]] caller_limits current_caller_limits(const node_core& core);

// Writes an answer of this VM's own. False when the connection has failed.
asio::awaitable<bool> write_local_reply(caller_connection_state& state, const local_reply& answer,
                                        unsigned version, const std::string& id);

// Writes a target's whole answer. False when the connection has failed.
asio::awaitable<bool> write_target_response(caller_connection_state& state, target_response answer,
                                            const http::request_header<>& request);

// Returns where an answer goes that is too large to be buffered. The state must outlive it.
[[nodiscard]] response_sink make_response_sink(caller_connection_state& state, unsigned version);

} // namespace cassiaspan
