#include "fair_queue.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Removes a waiting request and the workspaces whose state is no longer needed.
void remove_waiting(fair_queue& queue, std::set<waiting_request>::iterator position) {
    const auto entry = queue.workspaces.find(position->workspace);
    --entry->second.waiting_count;
    queue.waiting.erase(position);
    // The state of a workspace without waiting requests only matters while its finish tag is above the
    // virtual time.
    std::erase_if(queue.workspaces, [&](const auto& item) {
        return item.second.waiting_count == 0 && item.second.finish_tag <= queue.virtual_time;
    });
}

} // namespace

std::optional<std::uint64_t> enqueue(fair_queue& queue, const std::string& workspace, std::size_t weight) {
    queued_workspace& entry = queue.workspaces[workspace];
    if (entry.waiting_count >= queue.max_waiting_per_workspace) {
        return std::nullopt;
    }
    const double start_tag = std::max(queue.virtual_time, entry.finish_tag);
    entry.finish_tag = start_tag + 1.0 / static_cast<double>(std::max<std::size_t>(1, weight));
    ++entry.waiting_count;
    const std::uint64_t ticket = queue.next_ticket++;
    queue.waiting.insert({start_tag, ticket, workspace});
    return ticket;
}

std::optional<std::uint64_t> dequeue(fair_queue& queue) {
    if (queue.waiting.empty()) {
        return std::nullopt;
    }
    const auto first = queue.waiting.begin();
    const std::uint64_t ticket = first->ticket;
    queue.virtual_time = std::max(queue.virtual_time, first->start_tag);
    remove_waiting(queue, first);
    return ticket;
}

void cancel(fair_queue& queue, std::uint64_t ticket) {
    const auto position =
        std::find_if(queue.waiting.begin(), queue.waiting.end(),
                     [ticket](const waiting_request& entry) { return entry.ticket == ticket; });
    if (position != queue.waiting.end()) {
        remove_waiting(queue, position);
    }
}

} // namespace cassiaspan
