#include "head_change.h"

namespace cassiaspan {

namespace {

// Maximum number of history entries.
constexpr int max_history_entries = 64;

} // namespace

schema::Head next_generation(const schema::Head& head, const change_description& change) {
    schema::Head next = head;
    next.set_generation(head.generation() + 1);
    next.set_change_id(change.change_id);
    auto* entry = next.add_history();
    entry->set_generation(next.generation());
    entry->set_change_id(change.change_id);
    entry->set_operator_name(change.operator_name);
    entry->set_summary(change.summary);
    if (next.history_size() > max_history_entries) {
        next.mutable_history()->DeleteSubrange(0, next.history_size() - max_history_entries);
    }
    return next;
}

} // namespace cassiaspan
