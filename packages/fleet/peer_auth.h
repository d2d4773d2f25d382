// Proof that a message comes from a VM that knows the fleet's secret, and protection against replays.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cassiaspan {

// Which way a message goes; part of what is authenticated, so that none can be sent back as the other.
enum class message_direction : char { request = 'q', reply = 'r' };

// Returns HMAC-SHA256 over direction, context and message, as hexadecimal digits. The context of a reply is
// the code of its request.
[[nodiscard]] std::string authenticate(std::string_view secret, message_direction direction,
                                       std::string_view context, std::string_view message);

// Compares two codes in constant time.
[[nodiscard]] bool codes_match(std::string_view left, std::string_view right);

// Accepts each sequence number of an incarnation once; numbers too far behind the newest are refused.
class replay_guard {
public:
    // Returns whether the number is new.
    [[nodiscard]] bool accept(std::uint64_t incarnation, std::uint64_t sequence);

private:
    // Requests may overtake each other by this many numbers.
    static constexpr std::uint64_t window = 64;
    // Senders remembered. Beyond, the one with the lowest incarnation is forgotten.
    static constexpr std::size_t max_senders = 4096;

    struct sender_state {
        std::uint64_t newest = 0;
        // Bit i is set when `newest - i` was seen.
        std::uint64_t seen = 0;
    };
    std::map<std::uint64_t, sender_state> senders;
};

} // namespace cassiaspan
