// Divides the memory and the descriptors of a VM's machine among what callers, peers and the store may make
// the process hold. Callers outside the users' control can ask for any amount, so each amount is reserved in
// its part before bytes are read.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>

namespace cassiaspan {

enum class memory_part {
    // Callers' connections, with the bytes that the kernel has received for them.
    connections,
    // Callers' request bodies.
    request_bodies,
    // Requests at targets, and the parts of their responses that callers have not taken yet.
    responses,
    // Connections of peers.
    peers,
    // The store's items.
    store
};
constexpr std::size_t memory_part_count = 5;

// Returns the name of the part in metrics and logs.
[[nodiscard]] const char* to_string(memory_part part);

// Bytes of each part, indexed by memory_part.
using part_bytes = std::array<std::size_t, memory_part_count>;

// The limits of one VM. Sizes are in bytes.
struct memory_budget {
    part_bytes parts{};
    // Largest number of connections of callers.
    std::size_t max_caller_connections = 0;
    // Largest number of connections at each listener for readiness checks, lookups and metrics.
    std::size_t max_listener_connections = 0;
    // Largest number of connections at each listener for other VMs: for store changes and for relayed
    // requests.
    std::size_t max_peer_connections = 0;
    // Reserved in the part for connections for each of callers' connections.
    std::size_t connection_bytes = 0;
    // Reserved in the part for responses for each request at a target.
    std::size_t request_bytes = 0;
    // SO_RCVBUF of connections from callers and to targets. The kernel uses up to twice as much.
    std::size_t caller_receive_buffer = 0;
    std::size_t target_receive_buffer = 0;
    // TCP_NOTSENT_LOWAT of all connections: how much the kernel takes beyond what the receiver lets it send.
    std::size_t unsent_bytes = 0;
    auto operator<=>(const memory_budget&) const = default;
};

// Returns how many bytes a process may use: `configured_bytes`, or if that is 0 a default of 256 MiB, on a
// machine with less than twice that, one half of it. `machine_bytes` is 0 if it is not known.
[[nodiscard]] std::size_t choose_memory_limit(std::size_t configured_bytes, std::size_t machine_bytes);

// Returns the budget of a process that may use `memory_bytes` and `max_descriptors`, or nullopt if
// `memory_bytes` is 0: the memory is not limited.
[[nodiscard]] std::optional<memory_budget> divide_memory(std::size_t memory_bytes,
                                                         std::size_t max_descriptors);

// Returns how many further bytes one holder may reserve in a part of `part` bytes of which `used` are in use,
// at most `most`. The amount decreases as the part fills, so that a few holders cannot fill it.
[[nodiscard]] std::size_t share_of_one(std::size_t part, std::size_t used, std::size_t most);

// Returns whether a request with a body of `body_bytes` is small: it may use the whole of a part.
[[nodiscard]] bool is_small_request(std::size_t body_bytes);

// Returns how many bytes of a part of `part` bytes a request may use: all of them if it is small, otherwise
// what is not kept for small ones. A few large requests can then not keep out many small ones.
[[nodiscard]] std::size_t usable_bytes(std::size_t part, bool is_small);

// Returns whether a body of `body_bytes` may be sent to a target that holds bodies of `bytes_in_flight` from
// this VM, one of `vms`. A single body is never held back.
[[nodiscard]] bool fits_target(std::size_t body_bytes, std::size_t bytes_in_flight, std::size_t vms);

} // namespace cassiaspan
