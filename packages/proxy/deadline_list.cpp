#include "deadline_list.h"

namespace cassiaspan {

scoped_deadline::scoped_deadline(deadline_list& list_in, instant when_in, std::function<void()> action_in)
    : list(list_in), when(when_in), action(std::move(action_in)), place(list_in.pending.size()) {
    this->list.pending.push_back(this);
}

scoped_deadline::~scoped_deadline() {
    this->leave();
}

void scoped_deadline::leave() {
    if (!this->is_pending) {
        return;
    }
    this->is_pending = false;
    scoped_deadline* const last = this->list.pending.back();
    this->list.pending[this->place] = last;
    last->place = this->place;
    this->list.pending.pop_back();
}

void deadline_list::run_expired(instant now) {
    std::vector<scoped_deadline*> passed;
    for (scoped_deadline* each : this->pending) {
        if (each->when <= now) {
            passed.push_back(each);
        }
    }
    for (scoped_deadline* each : passed) {
        each->leave();
        each->action();
    }
}

} // namespace cassiaspan
