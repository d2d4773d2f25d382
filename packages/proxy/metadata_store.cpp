#include "metadata_store.h"

namespace cassiaspan {

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
    }
    return "unknown";
}

} // namespace cassiaspan
