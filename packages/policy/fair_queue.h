// A bounded queue in front of a service's slots that serves workspaces by weight.
//
// Start-time fair queueing (Goyal, Vin, Cheng, 1996): a request's tag is the larger of the queue's virtual
// time and the end of its workspace's former request; the smallest tag is served first.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cassiaspan {

// A waiting request: served in the order of `tag`, then of `ticket`.
struct waiting_request {
    double start_tag = 0;
    std::uint64_t ticket = 0;
    std::string workspace;
    auto operator<=>(const waiting_request&) const = default;
};

// What the queue remembers of a workspace that waits.
struct queued_workspace {
    double finish_tag = 0;
    std::size_t waiting_count = 0;
};

// The queue of one service.
struct fair_queue {
    std::size_t max_waiting_per_workspace = 0;
    double virtual_time = 0;
    std::uint64_t next_ticket = 1;
    std::map<std::string, queued_workspace> workspaces;
    std::set<waiting_request> waiting;
};

// Adds a request. Returns its ticket, or nothing when the workspace's part of the queue is full.
[[nodiscard]] std::optional<std::uint64_t> enqueue(fair_queue& queue, const std::string& workspace,
                                                   std::size_t weight);

// Takes out the request that is to be served next.
[[nodiscard]] std::optional<std::uint64_t> dequeue(fair_queue& queue);

// Removes a request that no longer waits.
void cancel(fair_queue& queue, std::uint64_t ticket);

} // namespace cassiaspan
