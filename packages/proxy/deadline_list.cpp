#include "deadline_list.h"

namespace cassiaspan {

deadline::deadline(deadline_list& list_in, instant when_in, std::function<void()> action_in)
    : list(list_in), when(when_in), action(std::move(action_in)), place(list_in.pending.size()) {
    this->list.pending.push_back(this);
}

deadline::~deadline() {
    this->leave();
}

void deadline::leave() {
    if (!this->is_pending) {
        return;
    }
    this->is_pending = false;
    deadline* const last = this->list.pending.back();
    this->list.pending[this->place] = last;
    last->place = this->place;
    this->list.pending.pop_back();
}

void deadline_list::run_passed(instant now) {
    std::vector<deadline*> passed;
    for (deadline* each : this->pending) {
        if (each->when <= now) {
            passed.push_back(each);
        }
    }
    for (deadline* each : passed) {
        each->leave();
        each->action();
    }
}

} // namespace cassiaspan
