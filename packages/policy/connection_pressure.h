// Shortens the idle timeout of callers' connections while many are open, so that the process does not run out
// of file descriptors: callers that open a connection per attempt could otherwise use them all up within one
// idle timeout.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// Handling of a caller's connection after a response.
struct idle_policy {
    // How long the connection may stay idle.
    milliseconds idle_timeout{};
    // Close the connection after a response that refuses the request.
    bool close_after_refusal = false;
    auto operator<=>(const idle_policy&) const = default;
};

// Returns the policy while `open_connections` of at most `max_connections` are open. `configured_timeout` is
// the idle timeout that applies while there is no pressure.
[[nodiscard]] idle_policy choose_idle_policy(std::size_t open_connections, std::size_t max_connections,
                                             milliseconds configured_timeout);

} // namespace cassiaspan
