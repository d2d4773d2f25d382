#include "memory_use.h"

#include <algorithm>

namespace cassiaspan {

bool eviction_list::evict_oldest(instant now, milliseconds min_age) {
    if (this->holders.empty() || now - this->holders.front()->progress.since < min_age) {
        return false;
    }
    this->holders.front()->give_way();
    return true;
}

evictable::evictable(eviction_list& list_in, const waiting_caller& caller, instant now, held_memory held_in,
                     std::function<void()> evict_in)
    : list(list_in), progress{caller.source, caller.stage, 0, 0, now, now}, is_vm(caller.is_vm),
      held(held_in), evict(std::move(evict_in)),
      position(list_in.holders.insert(list_in.holders.end(), this)) {}

evictable::~evictable() {
    if (!this->evicted) {
        this->list.holders.erase(this->position);
    }
}

void evictable::record_progress(std::size_t bytes, instant now) {
    this->progress.moved_bytes += bytes;
    this->progress.last_progress = now;
}

void evictable::give_way() {
    this->list.holders.erase(this->position);
    this->evicted = true;
    for (memory_reservation* each : {this->held.first, this->held.second}) {
        if (each != nullptr) {
            each->surrender();
        }
    }
    this->evict();
}

std::size_t share_of_one(const memory_use& memory, memory_part part, std::size_t most) {
    return memory.budget
               ? share_of_one(usable_bytes(size_of(memory, part), false), used_of(memory, part), most)
               : most;
}

std::size_t memory_reservation::missing_for(std::size_t new_bytes) const {
    const std::size_t used_by_others = used_of(this->memory, this->part) - this->bytes;
    // A single holder is served whatever the size of the part.
    if (!this->memory.budget || new_bytes <= this->bytes || used_by_others == 0) {
        return 0;
    }
    const std::size_t size = usable_bytes(size_of(this->memory, this->part), this->is_small);
    return used_by_others + new_bytes > size ? used_by_others + new_bytes - size : 0;
}

bool memory_reservation::try_resize(std::size_t new_bytes) {
    if (this->missing_for(new_bytes) > 0) {
        return false;
    }
    this->resize(new_bytes);
    return true;
}

void memory_reservation::surrender() {
    this->resize(0);
    this->is_surrendered = true;
}

void memory_reservation::resize(std::size_t new_bytes) {
    if (this->is_surrendered) {
        return;
    }
    std::size_t& used = this->memory.used.at(static_cast<std::size_t>(this->part));
    used = used - this->bytes + new_bytes;
    this->bytes = new_bytes;
}

// One decision on who gives way.
class eviction_round {
public:
    // Add the list's holders with the bytes that they would release, or each with one connection.
    void add_memory(const eviction_list& list, const memory_reservation& except) {
        for (evictable* holder : list.holders) {
            const auto [first, second] = holder->held;
            if (first != &except && second != &except) {
                this->add(holder,
                          (first != nullptr ? first->size() : 0) + (second != nullptr ? second->size() : 0));
            }
        }
    }
    void add_callers(const eviction_list& list) {
        for (evictable* holder : list.holders) {
            if (!holder->is_vm) {
                this->add(holder, 1);
            }
        }
    }
    void add_vms(const eviction_list& list) {
        for (evictable* holder : list.holders) {
            this->add(holder, 1);
        }
    }

    // Asks those that have to give way. Returns false if they hold too little.
    bool run(const newcomer& arriving, instant now) {
        const std::vector<std::size_t> chosen = choose_evictions(this->holdings, arriving, now);
        for (const std::size_t index : chosen) {
            this->holders[index]->give_way();
        }
        return !chosen.empty();
    }

private:
    void add(evictable* holder, std::size_t amount) {
        this->holders.push_back(holder);
        this->holdings.push_back(holder->progress);
        this->holdings.back().amount = amount;
    }

    std::vector<evictable*> holders;
    std::vector<caller_holding> holdings;
};

bool reserve_or_evict(memory_reservation& reservation, std::size_t new_bytes, eviction_list& list,
                      caller_source source, instant now) {
    const std::size_t missing = reservation.missing_for(new_bytes);
    if (missing > 0) {
        eviction_round round;
        round.add_memory(list, reservation);
        if (!round.run({source, new_bytes, missing}, now)) {
            return false;
        }
    }
    reservation.resize(new_bytes);
    return true;
}

bool evict_connection(memory_use& memory, caller_source source, instant now) {
    eviction_round round;
    round.add_callers(memory.slow_requests);
    round.add_callers(memory.slow_readers);
    return round.run({source, 1, 1}, now);
}

bool admit_peer(const memory_use& memory, peer_connections& connections, caller_source source, instant now) {
    if (!memory.budget || connections.open < memory.budget->max_peer_connections ||
        connections.idle.evict_oldest(now, milliseconds(0))) {
        return true;
    }
    eviction_round round;
    round.add_vms(connections.slow_readers);
    return round.run({source, 1, 1}, now);
}

} // namespace cassiaspan
