// Deadlines of many connections and requests, checked together at a short interval. A deadline is cheaper
// than a timer of the event loop, of which each request would need several.
#pragma once

#include "clock.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace cassiaspan {

class scoped_deadline;

// The pending deadlines of one event loop. Not thread-safe. Must outlive its deadlines.
class deadline_list {
public:
    // Runs the actions of all deadlines that have expired, each once. An action may create and destroy other
    // deadlines; one that is destroyed is not run. Must be called regularly; the interval bounds how late an
    // action runs.
    void run_expired(instant now);
    // Returns the number of pending deadlines.
    [[nodiscard]] std::size_t size() const { return this->pending.size() + this->due.size(); }

private:
    friend class scoped_deadline;
    std::vector<scoped_deadline*> pending;
    // Expired deadlines whose actions have not run yet.
    std::vector<scoped_deadline*> due;
};

// Runs `action` once when the deadline expires, unless the object is destroyed before.
class scoped_deadline {
public:
    scoped_deadline(deadline_list& list_in, instant when_in, std::function<void()> action_in);
    ~scoped_deadline();
    scoped_deadline(const scoped_deadline&) = delete;
    scoped_deadline& operator=(const scoped_deadline&) = delete;
    scoped_deadline(scoped_deadline&&) = delete;
    scoped_deadline& operator=(scoped_deadline&&) = delete;

private:
    friend class deadline_list;
    // Removes the deadline from the vector that holds it, in constant time.
    void unregister();
    // Moves the deadline to the end of `destination`.
    void move_to(std::vector<scoped_deadline*>& destination);

    deadline_list& list;
    instant when;
    std::function<void()> action;
    // The vector of `list` that holds the deadline, and the index there. Null once the action was started.
    std::vector<scoped_deadline*>* holder = nullptr;
    std::size_t index = 0;
};

} // namespace cassiaspan
