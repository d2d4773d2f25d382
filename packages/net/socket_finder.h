// Finds the descriptor of a connection by its far end. CivetWeb keeps descriptors to itself, but deadlines
// and hung-up callers can only be acted on through them.
#pragma once

#include "address.h"

#include <optional>
#include <set>
#include <vector>

namespace cassiaspan {

// Returns an open, connected TCP socket of this process whose far end is `peer` and that is not in `known`.
[[nodiscard]] std::optional<int> find_socket(const socket_address& peer, const std::set<int>& known);

// A connected socket, with its far end and the bytes that wait to be read.
struct open_socket {
    int descriptor = -1;
    socket_address peer;
    int unread_bytes = 0;
    auto operator<=>(const open_socket&) const = default;
};

// Returns the connected sockets of this process that were accepted on `local_port`.
[[nodiscard]] std::vector<open_socket> list_accepted(std::uint16_t local_port);

// Returns whether reading the socket would not block: bytes wait, or the far end has closed.
[[nodiscard]] bool is_readable(int descriptor);

// Returns whether the far end has closed its side, with or without bytes waiting.
[[nodiscard]] bool is_hung_up(int descriptor);

} // namespace cassiaspan
