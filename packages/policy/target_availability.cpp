#include "target_availability.h"

namespace cassiaspan {

void record_leaving(target_availability& availability, instant now) {
    if (!availability.leaving_since) {
        availability.leaving_since = now;
    }
}

bool is_leaving(const target_availability& availability) {
    return availability.leaving_since.has_value();
}

bool may_use_while_leaving(const target_availability& availability, milliseconds drain_time, instant now) {
    return availability.leaving_since && now - *availability.leaving_since < drain_time / 2;
}

} // namespace cassiaspan
