#include "fair_queue.h"

#include <algorithm>

namespace cassiaspan {

namespace {

void forget(fair_queue& queue, std::set<waiting_request>::iterator position) {
    const auto entry = queue.workspaces.find(position->workspace);
    --entry->second.length;
    queue.waiting.erase(position);
    // A workspace that has nothing waiting and is not ahead of the others needs no memory.
    std::erase_if(queue.workspaces, [&](const auto& item) {
        return item.second.length == 0 && item.second.finish_tag <= queue.virtual_time;
    });
}

} // namespace

std::optional<std::uint64_t> enqueue(fair_queue& queue, const std::string& workspace, std::size_t weight) {
    queued_workspace& entry = queue.workspaces[workspace];
    if (entry.length >= queue.limit_per_workspace) {
        return std::nullopt;
    }
    const double tag = std::max(queue.virtual_time, entry.finish_tag);
    entry.finish_tag = tag + 1.0 / static_cast<double>(std::max<std::size_t>(1, weight));
    ++entry.length;
    const std::uint64_t ticket = queue.next_ticket++;
    queue.waiting.insert({tag, ticket, workspace});
    return ticket;
}

std::optional<std::uint64_t> dequeue(fair_queue& queue) {
    if (queue.waiting.empty()) {
        return std::nullopt;
    }
    const auto first = queue.waiting.begin();
    const std::uint64_t ticket = first->ticket;
    queue.virtual_time = std::max(queue.virtual_time, first->tag);
    forget(queue, first);
    return ticket;
}

void withdraw(fair_queue& queue, std::uint64_t ticket) {
    const auto position =
        std::find_if(queue.waiting.begin(), queue.waiting.end(),
                     [ticket](const waiting_request& entry) { return entry.ticket == ticket; });
    if (position != queue.waiting.end()) {
        forget(queue, position);
    }
}

} // namespace cassiaspan
