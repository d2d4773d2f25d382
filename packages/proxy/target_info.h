// A target as described by service discovery.
#pragma once

#include "address.h"
#include "clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace cassiaspan {

// A target's discovery entry, decoded.
struct target_info {
    std::string id;
    // Name of the service that the target belongs to.
    std::string service;
    socket_address address;
    std::string availability_zone;
    std::string region;
    // Number of requests that the target runs concurrently.
    std::size_t slots = 1;
    // The target is shutting down and accepts no new requests.
    bool draining = false;
    // How much longer the target is cold, counted from when the entry was written. A cold target has started
    // recently and handles few requests per second.
    milliseconds cold_remaining{};
    // Start time of the target in Unix milliseconds; 0 if unknown. Distinguishes incarnations of a target.
    std::int64_t started_ms = 0;
    // Number of the entry among those that this incarnation has written; a later entry has a higher one.
    std::uint64_t sequence = 0;
    auto operator<=>(const target_info&) const = default;
};

} // namespace cassiaspan
