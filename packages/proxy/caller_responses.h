// Writes responses to callers: replies of this VM, complete responses of targets, and large responses in
// chunks.
#pragma once

#include "forwarding.h"
#include "node_core.h"
#include "socket_timeout.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace cassiaspan {

// State of one connection from a caller.
struct caller_connection_state {
    caller_connection_state(node_core& core_in, std::shared_ptr<tcp::socket> socket_in)
        : core(core_in), socket(std::move(socket_in)), source(remote_address(*this->socket)) {}
    node_core& core;
    std::shared_ptr<tcp::socket> socket;
    // The caller's address, or that of the peer.
    caller_source source;
    // Whether the connection belongs to a peer that relays requests (relay.h).
    bool is_from_vm = false;
    // Bytes that were read from the socket but not parsed yet.
    boost::beast::flat_buffer buffer;
    // Whether the connection stays open after the current response.
    bool keep_alive = true;
    // How long the connection may stay idle, as announced in the last response; unset before the first one.
    std::optional<milliseconds> idle_timeout;
    // Id of the current request as far as it has been read, and whether its response has begun.
    std::string request_id;
    bool has_begun_response = false;
    // Whether the current request is a HEAD request, whose response has no body.
    bool is_head_request = false;
    // Whether the body of the current request has been read to its end. Otherwise the connection cannot be
    // used again after the response.
    bool has_read_body = true;
    // Until when the caller waits for the response to the current request.
    instant request_deadline;
    // What the current request has reserved while it is at a target; null before.
    memory_reservation* request_memory = nullptr;
    // Why the last response was not written completely; no error if it was.
    error_code write_error;
    // The connection is given up for others: it is closed after the response, without waiting for the caller.
    bool has_given_way = false;
};

// Returns whom an eviction_list is to hold while the VM waits for the caller.
[[nodiscard]] inline waiting_caller waiting_of(const caller_connection_state& state, caller_stage stage) {
    return {state.source, stage, state.is_from_vm};
}

// Returns the limits on requests and connections of callers: those of the configuration, or the defaults if
// there is none yet.
[[nodiscard]] caller_limits current_caller_limits(const node_core& core);

// Writes a reply of this VM, without its body to a HEAD request, and with the request id `id` unless that is
// empty. `version` is the HTTP version, 10 or 11. To a peer, states besides whether the request has certainly
// not run, and to how many targets it was sent. May close the connection when descriptors are scarce. Returns
// false if the connection failed.
asio::awaitable<bool> write_local_reply(caller_connection_state& state, const local_reply& reply,
                                        unsigned version, const std::string& id);

// Writes a complete response of a target to the given request. Returns false if the connection failed.
asio::awaitable<bool> write_target_response(caller_connection_state& state, target_response response,
                                            const http::request_header<>& request);

// Returns a sink that streams a response to the caller. `state` must outlive it.
[[nodiscard]] response_sink make_response_sink(caller_connection_state& state, unsigned version);

} // namespace cassiaspan
