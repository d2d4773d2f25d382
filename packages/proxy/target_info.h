// What service discovery says of one target.
#pragma once

#include "address.h"
#include "clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace cassiaspan {

struct target_info {
    std::string id;
    std::string service;
    socket_address address;
    std::string availability_zone;
    std::string region;
    // Requests that the target runs at the same time.
    std::size_t slots = 1;
    // A planned stop has begun: no new work.
    bool draining = false;
    // How much longer the target is cold, counted from the moment of the entry.
    milliseconds cold_remaining{};
    // Time of day of the target's start, Unix milliseconds; 0 where it is not told. Tells incarnations apart.
    std::int64_t started_ms = 0;
    auto operator<=>(const target_info&) const = default;
};

} // namespace cassiaspan
