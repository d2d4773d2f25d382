#include "stable_hash.h"

#include <xxhash.h>

namespace cassiaspan {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t mix_hash(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace cassiaspan
