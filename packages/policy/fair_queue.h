// Bounded queue of requests that wait for a slot of a service. It serves workspaces in proportion to their
// weights.
//
// Start-time fair queueing (Goyal, Vin, Cheng, 1996): the start tag of a request is the larger of the queue's
// virtual time and the finish tag of the workspace's previous request. The request with the smallest start
// tag is served first.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cassiaspan {

// A waiting request. Requests are served by `start_tag`, then by `ticket`.
struct waiting_request {
    double start_tag = 0;
    std::uint64_t ticket = 0;
    std::string workspace;
    auto operator<=>(const waiting_request&) const = default;
};

// State of one workspace in the queue.
struct queued_workspace {
    // Finish tag of the workspace's latest request.
    double finish_tag = 0;
    // Number of its requests that wait.
    std::size_t waiting_count = 0;
};

// The queue of one service.
struct fair_queue {
    std::size_t max_waiting_per_workspace = 0;
    // Largest start tag served so far.
    double virtual_time = 0;
    std::uint64_t next_ticket = 1;
    std::map<std::string, queued_workspace> workspaces;
    std::set<waiting_request> waiting;
};

// Adds a request. Returns its ticket, or nullopt if max_waiting_per_workspace requests of the workspace wait
// already. A weight of 0 counts as 1.
[[nodiscard]] std::optional<std::uint64_t> enqueue(fair_queue& queue, const std::string& workspace,
                                                   std::size_t weight);

// Removes the next request to serve and returns its ticket, or nullopt if the queue is empty.
[[nodiscard]] std::optional<std::uint64_t> dequeue(fair_queue& queue);

// Removes a request without serving it. Does nothing if the ticket is not in the queue.
void cancel(fair_queue& queue, std::uint64_t ticket);

} // namespace cassiaspan
