#include "deadline_list.h"

namespace cassiaspan {

scoped_deadline::scoped_deadline(deadline_list& list_in, instant when_in, std::function<void()> action_in)
    : list(list_in), when(when_in), action(std::move(action_in)), index(list_in.pending.size()) {
    this->list.pending.push_back(this);
}

scoped_deadline::~scoped_deadline() {
    this->unregister();
}

void scoped_deadline::unregister() {
    if (!this->is_pending) {
        return;
    }
    this->is_pending = false;
    scoped_deadline* const last = this->list.pending.back();
    this->list.pending[this->index] = last;
    last->index = this->index;
    this->list.pending.pop_back();
}

void deadline_list::run_expired(instant now) {
    std::vector<scoped_deadline*> expired;
    for (scoped_deadline* entry : this->pending) {
        if (entry->when <= now) {
            expired.push_back(entry);
        }
    }
    for (scoped_deadline* entry : expired) {
        entry->unregister();
        entry->action();
    }
}

} // namespace cassiaspan
