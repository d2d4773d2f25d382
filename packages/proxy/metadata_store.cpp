#include "metadata_store.h"

namespace cassiaspan {

std::uint64_t estimate_full_read_bytes(const store_mirror& mirror) {
    // Names of an item's fields, its revisions and its lease.
    constexpr std::uint64_t field_bytes = 128;
    std::uint64_t bytes = 0;
    for (const auto& [key, item] : mirror.items) {
        if (!item.removed) {
            // Base64 represents three bytes by four.
            bytes += key.size() + item.value.size() * 4 / 3 + field_bytes;
        }
    }
    return bytes;
}

const char* to_string(store_failure failure) {
    switch (failure) {
    case store_failure::unanswered:
        return "unanswered";
    case store_failure::unavailable:
        return "unavailable";
    case store_failure::history_lost:
        return "history_lost";
    case store_failure::rejected:
        return "rejected";
    case store_failure::malformed:
        return "malformed";
    case store_failure::stalled:
        return "stalled";
    case store_failure::too_slow:
        return "too_slow";
    case store_failure::oversized:
        return "oversized";
    case store_failure::superseded:
        return "superseded";
    }
    return "unknown";
}

} // namespace cassiaspan
