#include "deadline_list.h"

#include <utility>

namespace cassiaspan {

scoped_deadline::scoped_deadline(deadline_list& list_in, instant when_in, std::function<void()> action_in)
    : list(list_in), when(when_in), action(std::move(action_in)) {
    this->move_to(this->list.pending);
}

scoped_deadline::~scoped_deadline() {
    this->unregister();
}

void scoped_deadline::unregister() {
    if (this->holder == nullptr) {
        return;
    }
    scoped_deadline* const last = this->holder->back();
    (*this->holder)[this->index] = last;
    last->index = this->index;
    this->holder->pop_back();
    this->holder = nullptr;
}

void scoped_deadline::move_to(std::vector<scoped_deadline*>& destination) {
    this->unregister();
    this->holder = &destination;
    this->index = destination.size();
    destination.push_back(this);
}

void deadline_list::run_expired(instant now) {
    for (std::size_t i = 0; i < this->pending.size();) {
        // Moving an entry puts another one in its place.
        if (this->pending[i]->when <= now) {
            this->pending[i]->move_to(this->due);
        } else {
            ++i;
        }
    }
    while (!this->due.empty()) {
        scoped_deadline* const entry = this->due.back();
        entry->unregister();
        // The action may destroy its own deadline.
        const std::function<void()> action = std::move(entry->action);
        action();
    }
}

} // namespace cassiaspan
