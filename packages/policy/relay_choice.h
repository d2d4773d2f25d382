// Choice of the peer that serves a request for a VM that cannot reach the targets itself.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace cassiaspan {

// A peer that reports that it reaches the targets of the request's service.
struct relay_candidate {
    bool is_same_zone = false;
    bool is_same_region = false;
    // Bandwidth of the peer's link in Mbit/s; 0 if unknown.
    std::uint32_t link_mbps = 0;
    // Requests of this VM in progress at the peer.
    std::size_t in_flight = 0;
    auto operator<=>(const relay_candidate&) const = default;
};

// Returns the index of the chosen candidate, or nothing if there is none. Of two random candidates of the
// nearest region, takes the one with the fewest requests in flight for its bandwidth, and on a tie the one in
// the same availability zone. The random draw spreads the requests of many VMs, which do not know of each
// other's choices.
[[nodiscard]] std::optional<std::size_t> choose_relay(const std::vector<relay_candidate>& candidates,
                                                      std::mt19937_64& random);

} // namespace cassiaspan
