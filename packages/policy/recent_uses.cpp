#include "recent_uses.h"

namespace cassiaspan {

namespace {

std::uint64_t pair_of(std::uint64_t target, std::uint64_t object) {
    // Odd multipliers keep the pair (a, b) apart from (b, a).
    return target * 0x9e3779b97f4a7c15U ^ (object + 1) * 0xc2b2ae3d27d4eb4fU;
}

std::size_t place_of(std::uint64_t pair) {
    return static_cast<std::size_t>(pair >> 32U) % recent_use_places;
}

} // namespace

void note_use(recent_uses& uses, std::uint64_t target, std::uint64_t object, instant now) {
    const std::uint64_t pair = pair_of(target, object);
    uses.places.at(place_of(pair)) = {pair, now};
}

bool was_used(const recent_uses& uses, std::uint64_t target, std::uint64_t object, milliseconds within,
              instant now) {
    const std::uint64_t pair = pair_of(target, object);
    const recent_use& known = uses.places.at(place_of(pair));
    return known.pair == pair && now - known.at <= within;
}

} // namespace cassiaspan
