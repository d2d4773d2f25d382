// SHA-256 digests for API keys and for the content hashes that name configurations.
#pragma once

#include "stable_hash.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cassiaspan {

// Returns `size` bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(const unsigned char* bytes, std::size_t size);

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace cassiaspan
