#include "store_transfer.h"

#include <algorithm>

namespace cassiaspan {

namespace {

bool is_too_slow(const transfer_progress& progress) {
    return progress.received_bytes - progress.bytes_before_interval < min_bytes_per_interval;
}

} // namespace

transfer_progress start_transfer(instant now, milliseconds wait) {
    transfer_progress progress;
    progress.started_at = now;
    progress.silent_since = now + wait;
    progress.interval_start = now + wait;
    return progress;
}

transfer_progress record_arrival(const transfer_progress& progress, std::uint64_t bytes, instant now) {
    transfer_progress next = progress;
    next.received_bytes += bytes;
    next.silent_since = now;
    if (!next.first_arrival) {
        next.first_arrival = now;
        next.first_bytes = bytes;
        next.interval_start = now;
        next.bytes_before_interval = 0;
    } else if (now - next.interval_start >= transfer_rate_interval && !is_too_slow(next)) {
        next.interval_start = now;
        next.bytes_before_interval = next.received_bytes;
    }
    return next;
}

transfer_check check_transfer(const transfer_progress& progress, instant now) {
    if (now - progress.silent_since >= max_transfer_silence) {
        return transfer_check::silent;
    }
    const bool interval_ended = now - progress.interval_start >= transfer_rate_interval;
    return interval_ended && is_too_slow(progress) ? transfer_check::too_slow : transfer_check::in_progress;
}

instant next_transfer_check(const transfer_progress& progress) {
    const instant silence_end = progress.silent_since + max_transfer_silence;
    const instant interval_end = progress.interval_start + transfer_rate_interval;
    return is_too_slow(progress) ? std::min(silence_end, interval_end) : silence_end;
}

} // namespace cassiaspan
