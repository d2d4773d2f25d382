#include "memory_budget.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;

// Limit of a process whose settings state none, and the part of its machine that it does not exceed: the rest
// is for the system and for other processes. Deployments have machines of 112 to 512 MB.
constexpr std::size_t default_memory_bytes = 256 * mib;
constexpr std::size_t default_machine_divisor = 2;

// Resident memory of a VM without callers: 4 MB measured, and 1 MB for a configuration of some hundred
// targets.
constexpr std::size_t program_bytes = 5 * mib;
// One part in this many is left to the allocator, which cannot return every free byte.
constexpr std::size_t allocator_divisor = 8;
// The parts in percent of the rest, in the order of memory_part.
constexpr std::array<std::size_t, memory_part_count> part_percent{35, 25, 25, 8, 7};

// Descriptors that the platform keeps for files; sockets share the others. Callers get one half of them:
// the other one is for targets, peers, the store and listeners.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t caller_divisor = 2;
// Part of the sockets of each listener for readiness checks, lookups and metrics. The three of them leave
// five sixteenths of the sockets to peers, targets and the store.
constexpr std::size_t listener_divisor = 16;

// The same for each of the two listeners for other VMs, whose connections are bounded by the part for peers
// as well. One sixteenth is left to targets and the store then; without crowds at listeners, they get more.
constexpr std::size_t peer_listener_divisor = 8;
// Memory of a peer's connection: an HTTP/2 session, and the frames that are being sent.
constexpr std::size_t peer_connection_bytes = 32 * kib;

// Memory of a connection without the kernel's buffers: coroutine frames, timers and an unparsed header.
constexpr std::size_t connection_bytes_own = 8 * kib;
// Memory of a request at a target without its body and response: both connections, headers and frames.
constexpr std::size_t request_bytes_own = 32 * kib;

// Receive buffers of callers: enough for a header and the first segments of a body. They grow when a body is
// admitted.
constexpr std::size_t caller_buffer_divisor = 8192;
constexpr std::size_t min_receive_buffer = 8 * kib;
constexpr std::size_t max_caller_buffer = 32 * kib;
// Receive buffers of targets: a response of 90 kB fits into one window, also from another region.
constexpr std::size_t target_buffer_divisor = 1024;
constexpr std::size_t max_target_buffer = 96 * kib;
// Bytes that the kernel takes of a message and cannot send yet: enough for the next wake-up of a busy VM.
constexpr std::size_t unsent_divisor = 4096;
constexpr std::size_t min_unsent_bytes = 16 * kib;
constexpr std::size_t max_unsent_bytes = 64 * kib;
// The kernel doubles SO_RCVBUF to allow for its own overhead.
constexpr std::size_t kernel_factor = 2;

// One holder may take this part of what is free.
constexpr std::size_t share_divisor = 4;

// Largest body of a small request: most requests that carry data of a person fit.
constexpr std::size_t small_body_bytes = 16 * kib;
// One part in this many is kept for small requests.
constexpr std::size_t small_request_divisor = 8;

// Bodies in flight at one target from all VMs, and the least that each VM may send: 64 MiB is the largest
// body that a configuration allows by default.
constexpr std::size_t target_body_bytes = 64 * mib;
constexpr std::size_t min_target_body_bytes = 2 * mib;

} // namespace

const char* to_string(memory_part part) {
    constexpr std::array<const char*, memory_part_count> names{"connections", "request_bodies", "responses",
                                                               "peers", "store"};
    return names.at(static_cast<std::size_t>(part));
}

std::size_t choose_memory_limit(std::size_t configured_bytes, std::size_t machine_bytes) {
    if (configured_bytes > 0) {
        return configured_bytes;
    }
    return machine_bytes > 0 ? std::min(default_memory_bytes, machine_bytes / default_machine_divisor)
                             : default_memory_bytes;
}

std::optional<memory_budget> divide_memory(std::size_t memory_bytes, std::size_t max_descriptors) {
    if (memory_bytes == 0) {
        return std::nullopt;
    }
    constexpr std::size_t percent = 100;
    const std::size_t fixed = program_bytes + memory_bytes / allocator_divisor;
    const std::size_t rest = memory_bytes > fixed ? memory_bytes - fixed : 0;
    memory_budget budget;
    for (std::size_t i = 0; i < memory_part_count; ++i) {
        budget.parts.at(i) = rest / percent * part_percent.at(i);
    }
    budget.caller_receive_buffer =
        std::clamp(memory_bytes / caller_buffer_divisor, min_receive_buffer, max_caller_buffer);
    budget.target_receive_buffer =
        std::clamp(memory_bytes / target_buffer_divisor, min_receive_buffer, max_target_buffer);
    budget.unsent_bytes = std::clamp(memory_bytes / unsent_divisor, min_unsent_bytes, max_unsent_bytes);
    budget.connection_bytes = connection_bytes_own + kernel_factor * budget.caller_receive_buffer;
    budget.request_bytes = request_bytes_own + kernel_factor * budget.target_receive_buffer;
    const std::size_t sockets = max_descriptors > file_descriptors ? max_descriptors - file_descriptors : 0;
    const std::size_t by_memory =
        budget.parts.at(static_cast<std::size_t>(memory_part::connections)) / budget.connection_bytes;
    // A VM that serves no caller at all would be useless, whatever its limits.
    budget.max_caller_connections = std::max<std::size_t>(1, std::min(by_memory, sockets / caller_divisor));
    budget.max_listener_connections = std::max<std::size_t>(1, sockets / listener_divisor);
    const std::size_t peers_by_memory =
        budget.parts.at(static_cast<std::size_t>(memory_part::peers)) / peer_connection_bytes;
    budget.max_peer_connections =
        std::max<std::size_t>(1, std::min(peers_by_memory, sockets / peer_listener_divisor));
    return budget;
}

std::size_t share_of_one(std::size_t part, std::size_t used, std::size_t most) {
    return used < part ? std::min(most, (part - used) / share_divisor) : 0;
}

bool is_small_request(std::size_t body_bytes) {
    return body_bytes <= small_body_bytes;
}

std::size_t usable_bytes(std::size_t part, bool is_small) {
    return is_small ? part : part - part / small_request_divisor;
}

bool fits_target(std::size_t body_bytes, std::size_t bytes_in_flight, std::size_t vms) {
    const std::size_t limit =
        std::max(min_target_body_bytes, target_body_bytes / std::max<std::size_t>(vms, 1));
    return bytes_in_flight == 0 || (bytes_in_flight <= limit && body_bytes <= limit - bytes_in_flight);
}

} // namespace cassiaspan
