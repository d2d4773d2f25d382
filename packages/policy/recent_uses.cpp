#include "recent_uses.h"

namespace cassiaspan {

namespace {

std::uint64_t hash_pair(std::uint64_t target, std::uint64_t object) {
    // Odd multipliers keep the pair (a, b) apart from (b, a).
    return target * 0x9e3779b97f4a7c15U ^ (object + 1) * 0xc2b2ae3d27d4eb4fU;
}

std::size_t entry_index(std::uint64_t pair_hash) {
    return static_cast<std::size_t>(pair_hash >> 32U) % recent_use_capacity;
}

} // namespace

void record_use(recent_uses& uses, std::uint64_t target, std::uint64_t object, instant now) {
    const std::uint64_t pair_hash = hash_pair(target, object);
    uses.entries.at(entry_index(pair_hash)) = {pair_hash, now};
}

bool was_used(const recent_uses& uses, std::uint64_t target, std::uint64_t object, milliseconds max_age,
              instant now) {
    const std::uint64_t pair_hash = hash_pair(target, object);
    const recent_use& entry = uses.entries.at(entry_index(pair_hash));
    return entry.pair_hash == pair_hash && now - entry.at <= max_age;
}

} // namespace cassiaspan
