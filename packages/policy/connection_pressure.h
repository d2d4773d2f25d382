// Decides how long callers' connections may stay idle, so that descriptors never run out: callers that open a
// connection for each try would otherwise fill them within one idle timeout.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// What may happen to a caller's connection after an answer.
struct idle_terms {
    // How long the connection may stay idle.
    milliseconds idle_timeout{};
    // A refused caller's connection is closed with the refusal.
    bool close_after_refusal = false;
    auto operator<=>(const idle_terms&) const = default;
};

// Returns the terms while `open` of at most `limit` connections are open. `configured` is the idle timeout
// that callers are promised while there is no shortage.
[[nodiscard]] idle_terms choose_idle_terms(std::size_t open, std::size_t limit, milliseconds configured);

} // namespace cassiaspan
