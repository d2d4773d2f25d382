#include "stable_hash.h"

#include <xxhash.h>

namespace cassiaspan {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace cassiaspan
