#include "digest.h"

#include <array>
#include <openssl/sha.h>

namespace cassiaspan {

std::string to_hex(const unsigned char* bytes, std::size_t size) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * size);
    for (std::size_t i = 0; i < size; ++i) {
        hex += digits[bytes[i] >> 4U];
        hex += digits[bytes[i] & 15U];
    }
    return hex;
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return to_hex(digest.data(), digest.size());
}

} // namespace cassiaspan
