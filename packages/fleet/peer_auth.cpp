#include "peer_auth.h"

#include "digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cassiaspan {

std::string authenticate(std::string_view secret, message_direction direction, std::string_view context,
                         std::string_view message) {
    std::string text;
    text.reserve(2 + context.size() + message.size());
    text += static_cast<char>(direction);
    text += context;
    text += '\n';
    text += message;
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), code.data(), &size);
    return to_hex(code.data(), size);
}

bool codes_match(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool replay_guard::accept(std::uint64_t incarnation, std::uint64_t sequence) {
    if (this->senders.size() >= max_senders && this->senders.count(incarnation) == 0) {
        this->senders.erase(this->senders.begin());
    }
    sender_state& sender = this->senders[incarnation];
    if (sequence > sender.newest) {
        const std::uint64_t step = sequence - sender.newest;
        sender.seen = step >= window ? 0 : sender.seen << step;
        sender.seen |= 1U;
        sender.newest = sequence;
        return true;
    }
    const std::uint64_t age = sender.newest - sequence;
    if (age >= window || (sender.seen >> age & 1U) != 0) {
        return false;
    }
    sender.seen |= std::uint64_t{1} << age;
    return true;
}

} // namespace cassiaspan
