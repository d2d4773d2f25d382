// Deadlines of many connections and requests, checked together at a short interval. Starting and ending one
// costs no timer of the event loop, of which each request would need several.
#pragma once

#include "clock.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace cassiaspan {

class deadline;

class deadline_list {
public:
    // Runs the actions of all deadlines that have passed, each once.
    void run_passed(instant now);
    [[nodiscard]] std::size_t size() const { return this->pending.size(); }

private:
    friend class deadline;
    std::vector<deadline*> pending;
};

// A deadline that holds while the object lives.
class deadline {
public:
    deadline(deadline_list& list_in, instant when_in, std::function<void()> action_in);
    ~deadline();
    deadline(const deadline&) = delete;
    deadline& operator=(const deadline&) = delete;
    deadline(deadline&&) = delete;
    deadline& operator=(deadline&&) = delete;

private:
    friend class deadline_list;
    void leave();

    deadline_list& list;
    instant when;
    std::function<void()> action;
    // Place in the list; the list's end once the deadline has passed.
    std::size_t place;
    bool is_pending = true;
};

} // namespace cassiaspan
