#include "digest.h"

#include <array>
#include <openssl/sha.h>
#include <xxhash.h>

namespace cassiaspan {

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace cassiaspan
