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
    // Runs the actions of all deadlines that have expired, each once. Must be called regularly; the interval
    // bounds how late an action runs.
    void run_expired(instant now);
    // Returns the number of pending deadlines.
    [[nodiscard]] std::size_t size() const { return this->pending.size(); }

private:
    friend class scoped_deadline;
    std::vector<scoped_deadline*> pending;
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
    // Removes the deadline from the list, in constant time.
    void unregister();

    deadline_list& list;
    instant when;
    std::function<void()> action;
    // Index in the list. Meaningless once the deadline is not pending any more.
    std::size_t index;
    bool is_pending = true;
};

} // namespace cassiaspan
