// Digests: SHA-256 for keys and content names, a fast stable hash for placing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cassiaspan {

// Returns bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(const unsigned char* bytes, std::size_t size);

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

// Returns a hash that is equal on all VMs. Not for secrets.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace cassiaspan
