// Decides which callers give way when a VM has no room for a further one: no connection left, or no memory.
// The order is that of what a caller costs others: callers that make no progress first, then those that have
// been served for long, then those that hold more than the newcomer needs. Callers that have only just come
// keep their place, except where one source holds most of the room and the newcomer comes from another. One
// decision takes time proportional to the number of holders, and none is made while there is room.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cassiaspan {

// A caller's IP address, or that of the VM that relays its request.
using caller_source = std::uint32_t;

// What a VM waits for. A header follows its connection at once, a body or the taking of a response may last.
enum class caller_stage { header, body, response };

// What one caller holds, and how it progresses.
struct caller_holding {
    caller_source source = 0;
    caller_stage stage = caller_stage::body;
    // Connections or bytes.
    std::size_t amount = 0;
    // Bytes that the caller has sent of its request, or taken of its response.
    std::uint64_t moved_bytes = 0;
    instant since;
    instant last_progress;
    auto operator<=>(const caller_holding&) const = default;
};

// A caller for which there is no room. Amounts are connections or bytes.
struct newcomer {
    caller_source source = 0;
    // What it will hold, and how much of it is missing.
    std::size_t amount = 0;
    std::size_t missing = 0;
    auto operator<=>(const newcomer&) const = default;
};

// Returns the indices of the holders that give way, the first one first: as few as together hold what is
// missing. Empty if those that may be asked hold too little; the newcomer is to be refused then.
[[nodiscard]] std::vector<std::size_t> choose_evictions(const std::vector<caller_holding>& holders,
                                                        const newcomer& arriving, instant now);

} // namespace cassiaspan
