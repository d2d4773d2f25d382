#include "memory_use.h"

namespace cassiaspan {

namespace {

// Holders younger than this do not give way: callers with a usual round trip make progress within it.
constexpr milliseconds min_holding_time{1000};

} // namespace

bool eviction_list::evict_oldest(instant now, milliseconds min_age) {
    if (this->holders.empty() || now - this->holders.front()->since < min_age) {
        return false;
    }
    evictable& oldest = *this->holders.front();
    this->holders.pop_front();
    oldest.evicted = true;
    oldest.evict();
    return true;
}

evictable::evictable(eviction_list& list_in, instant now, std::function<void()> evict_in)
    : list(list_in), since(now), evict(std::move(evict_in)),
      position(list_in.holders.insert(list_in.holders.end(), this)) {}

evictable::~evictable() {
    if (!this->evicted) {
        this->list.holders.erase(this->position);
    }
}

std::size_t share_of_one(const memory_use& memory, memory_part part, std::size_t most) {
    return memory.budget ? share_of_one(size_of(memory, part), used_of(memory, part), most) : most;
}

bool memory_reservation::try_resize(std::size_t new_bytes) {
    const std::size_t used_by_others = used_of(this->memory, this->part) - this->bytes;
    // A single holder is served whatever the size of the part.
    if (this->memory.budget && new_bytes > this->bytes && used_by_others > 0 &&
        used_by_others + new_bytes > size_of(this->memory, this->part)) {
        return false;
    }
    this->resize(new_bytes);
    return true;
}

void memory_reservation::resize(std::size_t new_bytes) {
    std::size_t& used = this->memory.used.at(static_cast<std::size_t>(this->part));
    used = used - this->bytes + new_bytes;
    this->bytes = new_bytes;
}

bool reserve_or_evict(memory_reservation& reservation, std::size_t new_bytes, eviction_list& list,
                      instant now) {
    if (reservation.try_resize(new_bytes)) {
        return true;
    }
    if (!list.evict_oldest(now, min_holding_time)) {
        return false;
    }
    reservation.resize(new_bytes);
    return true;
}

} // namespace cassiaspan
