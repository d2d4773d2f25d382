// The memory that a VM's callers hold, by part of its budget, and who gives way when a part is used up. One
// reservation costs two additions; without a budget, reservations are counted and always succeed.
#pragma once

#include "clock.h"
#include "eviction.h"
#include "memory_budget.h"

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace cassiaspan {

class evictable;
class memory_reservation;

// Holders of connections or memory that may be asked to release them, in the order in which they were added.
// Not thread-safe. Must outlive its holders.
class eviction_list {
public:
    // Asks the oldest holder to release what it holds if it was added at least `min_age` ago, and removes it
    // from the list. Returns false if there is none.
    bool evict_oldest(instant now, milliseconds min_age);
    // Returns the number of holders that have not been asked.
    [[nodiscard]] std::size_t size() const { return this->holders.size(); }

private:
    friend class evictable;
    friend class eviction_round;
    std::list<evictable*> holders;
};

// What a holder releases. Either may be null.
struct held_memory {
    memory_reservation* first = nullptr;
    memory_reservation* second = nullptr;
};

// Whom a VM waits for, and for what.
struct waiting_caller {
    caller_source source = 0;
    caller_stage stage = caller_stage::body;
    // Whether it is a VM, which takes no caller's connection.
    bool is_vm = false;
};

// Lists a holder for its lifetime.
class evictable {
public:
    // `evict_in` is called at most once. It must start the release and return; it must not destroy the object
    // itself. `held_in` must outlive it.
    evictable(eviction_list& list_in, const waiting_caller& caller, instant now, held_memory held_in,
              std::function<void()> evict_in);
    ~evictable();
    evictable(const evictable&) = delete;
    evictable& operator=(const evictable&) = delete;
    evictable(evictable&&) = delete;
    evictable& operator=(evictable&&) = delete;

    // Records that the caller has sent or taken bytes.
    void record_progress(std::size_t bytes, instant now);
    [[nodiscard]] bool is_evicted() const { return this->evicted; }

private:
    friend class eviction_list;
    friend class eviction_round;
    void give_way();

    eviction_list& list;
    // Without the amount, which depends on what is short.
    caller_holding progress;
    bool is_vm;
    held_memory held;
    std::function<void()> evict;
    std::list<evictable*>::iterator position;
    bool evicted = false;
};

// The connections at a listener for other VMs.
struct peer_connections {
    std::size_t open = 0;
    // Those that wait for a request, and those whose reply is being taken.
    eviction_list idle;
    eviction_list slow_readers;
};

// State of one VM.
struct memory_use {
    // Unset if the settings do not limit the memory.
    std::optional<memory_budget> budget;
    // Reserved bytes.
    part_bytes used{};
    // Connections between two requests, or that wait for the caller to close them.
    eviction_list idle_connections;
    // Requests that are being read, from the connection on if it is the first one.
    eviction_list slow_requests;
    // Responses that are being written.
    eviction_list slow_readers;
    peer_connections relays;
    peer_connections store_readers;
};

// Returns the size of a part and the reserved bytes.
[[nodiscard]] inline std::size_t size_of(const memory_use& memory, memory_part part) {
    return memory.budget ? memory.budget->parts.at(static_cast<std::size_t>(part)) : 0;
}
[[nodiscard]] inline std::size_t used_of(const memory_use& memory, memory_part part) {
    return memory.used.at(static_cast<std::size_t>(part));
}

// How many further bytes one holder may reserve in a part, at most `most`; `most` without a budget. What is
// kept for small requests does not count.
[[nodiscard]] std::size_t share_of_one(const memory_use& memory, memory_part part, std::size_t most);

// Bytes reserved in one part, released at the end of its lifetime.
class memory_reservation {
public:
    // `is_small_in` tells whether the holder is a small request.
    memory_reservation(memory_use& memory_in, memory_part part_in, bool is_small_in = false)
        : memory(memory_in), part(part_in), is_small(is_small_in) {}
    ~memory_reservation() { this->resize(0); }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&&) = delete;
    memory_reservation& operator=(memory_reservation&&) = delete;

    // Changes the reservation to `new_bytes`. Returns false, and changes nothing, if the part is too small.
    [[nodiscard]] bool try_resize(std::size_t new_bytes);
    // Changes the reservation also beyond the size of the part.
    void resize(std::size_t new_bytes);
    // Releases the bytes for good, ahead of their holder, which has been asked to give way: later changes of
    // the size have no effect.
    void surrender();
    // Returns by how many bytes the part is too small for `new_bytes` here.
    [[nodiscard]] std::size_t missing_for(std::size_t new_bytes) const;
    [[nodiscard]] std::size_t size() const { return this->bytes; }

private:
    memory_use& memory;
    memory_part part;
    bool is_small;
    std::size_t bytes = 0;
    bool is_surrendered = false;
};

// Like try_resize(). If the part is used up, asks holders of `list` to give way to `source`; see
// choose_evictions(). Their reservations end at once, their memory is freed soon after.
[[nodiscard]] bool reserve_or_evict(memory_reservation& reservation, std::size_t new_bytes,
                                    eviction_list& list, caller_source source, instant now);

// Asks a caller whose request is being read or whose response is being written to give up its connection.
// Returns false if there is none that has to give way to `source`.
[[nodiscard]] bool evict_connection(memory_use& memory, caller_source source, instant now);

// Returns whether a further connection may be opened at a listener for other VMs. If there are too many,
// closes the one that has waited for a request for longest, or else one that takes its reply slowly.
[[nodiscard]] bool admit_peer(const memory_use& memory, peer_connections& connections, caller_source source,
                              instant now);

} // namespace cassiaspan
