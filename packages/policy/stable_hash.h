// A fast hash that is equal on all VMs, for placing and for naming things in datagrams. Not for secrets.
#pragma once

#include <cstdint>
#include <string_view>

namespace cassiaspan {

// Returns the XXH3 hash of `text`.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Finalizer of splitmix64 (Steele, Lea and Flood, 2014): every input bit changes half of the output bits.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t value);

} // namespace cassiaspan
