// The memory that a VM's callers hold, by part of its budget, and who gives way when a part is used up. One
// reservation costs two additions; without a budget, reservations are counted and always succeed.
#pragma once

#include "clock.h"
#include "memory_budget.h"

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace cassiaspan {

class evictable;

// Holders of memory that may be asked to release it, in the order in which they were added. Not thread-safe.
// Must outlive its holders.
class eviction_list {
public:
    // Asks the oldest holder to release what it holds if it was added at least `min_age` ago, and removes it
    // from the list. Returns false if there is none.
    bool evict_oldest(instant now, milliseconds min_age);
    // Returns the number of holders that have not been asked.
    [[nodiscard]] std::size_t size() const { return this->holders.size(); }

private:
    friend class evictable;
    std::list<evictable*> holders;
};

// Lists a holder for its lifetime.
class evictable {
public:
    // `evict_in` is called at most once. It must start the release and return; it must not destroy the object
    // itself.
    evictable(eviction_list& list_in, instant now, std::function<void()> evict_in);
    ~evictable();
    evictable(const evictable&) = delete;
    evictable& operator=(const evictable&) = delete;
    evictable(evictable&&) = delete;
    evictable& operator=(evictable&&) = delete;

    [[nodiscard]] bool is_evicted() const { return this->evicted; }

private:
    friend class eviction_list;
    eviction_list& list;
    instant since;
    std::function<void()> evict;
    std::list<evictable*>::iterator position;
    bool evicted = false;
};

// State of one VM.
struct memory_use {
    // Unset if the settings do not limit the memory.
    std::optional<memory_budget> budget;
    // Reserved bytes.
    part_bytes used{};
    // Connections that wait for a request, for its header or for the caller to close them, bodies that are
    // being read, and responses whose callers do not read them.
    eviction_list idle_connections;
    eviction_list slow_bodies;
    eviction_list slow_readers;
};

// Returns the size of a part and the reserved bytes.
[[nodiscard]] inline std::size_t size_of(const memory_use& memory, memory_part part) {
    return memory.budget ? memory.budget->parts.at(static_cast<std::size_t>(part)) : 0;
}
[[nodiscard]] inline std::size_t used_of(const memory_use& memory, memory_part part) {
    return memory.used.at(static_cast<std::size_t>(part));
}

// How many further bytes one holder may reserve in a part, at most `most`; `most` without a budget.
[[nodiscard]] std::size_t share_of_one(const memory_use& memory, memory_part part, std::size_t most);

// Bytes reserved in one part, released at the end of its lifetime.
class memory_reservation {
public:
    memory_reservation(memory_use& memory_in, memory_part part_in) : memory(memory_in), part(part_in) {}
    ~memory_reservation() { this->resize(0); }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&&) = delete;
    memory_reservation& operator=(memory_reservation&&) = delete;

    // Changes the reservation to `new_bytes`. Returns false, and changes nothing, if the part is too small.
    [[nodiscard]] bool try_resize(std::size_t new_bytes);
    // Changes the reservation also beyond the size of the part.
    void resize(std::size_t new_bytes);
    [[nodiscard]] std::size_t size() const { return this->bytes; }

private:
    memory_use& memory;
    memory_part part;
    std::size_t bytes = 0;
};

// Like try_resize(). If the part is used up, asks the oldest holder of `list` to give way, if it has been
// there for long enough. What that one holds is released after this call, so the part is exceeded by it for a
// moment.
[[nodiscard]] bool reserve_or_evict(memory_reservation& reservation, std::size_t new_bytes,
                                    eviction_list& list, instant now);

} // namespace cassiaspan
