#include "mirror_lag.h"

namespace cassiaspan {

namespace {

// A pull may fail once and still succeed in this time. It leaves time to read the store before a change must
// be in force.
constexpr milliseconds max_pull_time{1200};

} // namespace

mirror_lag update_lag(const mirror_lag& previous, store_position own, store_position newest, instant now) {
    if (newest <= own) {
        return {};
    }
    if (previous.since && own < previous.position) {
        return previous;
    }
    return {newest, now};
}

bool is_overdue(const mirror_lag& lag, instant now) {
    return lag.since && now - *lag.since >= max_pull_time;
}

} // namespace cassiaspan
