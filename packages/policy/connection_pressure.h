// Decides how long callers' connections may stay idle, so that descriptors never run out: callers that open a
// connection for each try would otherwise fill them within one idle timeout.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// What may happen to a caller's connection after an answer.
struct idle_policy {
    // How long the connection may stay idle.
    milliseconds idle_timeout{};
    // A refused caller's connection is closed with the refusal.
    bool close_after_refusal = false;
    auto operator<=>(const idle_policy&) const = default;
};

// Returns the terms while `open` of at most `limit` connections are open. `configured` is the idle timeout
// that callers are promised while there is no shortage.
[[nodiscard]] idle_policy choose_idle_policy(std::size_t open_connections, std::size_t max_connections,
                                             milliseconds configured_timeout);

} // namespace cassiaspan
