// Finds the descriptor of a connection by its far end. CivetWeb keeps descriptors to itself, but deadlines
// and hung-up callers can only be acted on through them.
#pragma once

#include "address.h"

#include <optional>
#include <set>

namespace cassiaspan {

// Returns an open, connected TCP socket of this process whose far end is `peer` and that is not in `known`.
[[nodiscard]] std::optional<int> find_socket(const socket_address& peer, const std::set<int>& known);

// Returns whether reading the socket would not block: bytes wait, or the far end has closed.
[[nodiscard]] bool is_readable(int descriptor);

// Returns whether the far end has closed its side, with or without bytes waiting.
[[nodiscard]] bool is_hung_up(int descriptor);

} // namespace cassiaspan
