// Fast hash functions with the same result on all VMs, for placement and for identifiers in datagrams. They
// are not cryptographic.
#pragma once

#include <cstdint>
#include <string_view>

namespace cassiaspan {

// Returns the XXH3 hash of `text`.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Returns one step of splitmix64 (Steele, Lea and Flood, 2014). Flipping an input bit flips each output bit
// with a probability of about 1/2.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t value);

} // namespace cassiaspan
