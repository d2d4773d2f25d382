#include "store_transfer.h"

#include <algorithm>

namespace cassiaspan {

namespace {

milliseconds transfer_time(std::uint64_t bytes, std::uint64_t bytes_per_second) {
    constexpr std::uint64_t ms_per_second = 1000;
    const std::uint64_t rate = std::max<std::uint64_t>(1, bytes_per_second);
    return milliseconds(static_cast<std::int64_t>(bytes * ms_per_second / rate));
}

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

std::optional<std::uint64_t> measure_rate(const transfer_progress& progress, instant now) {
    constexpr std::uint64_t us_per_second = 1'000'000;
    const std::uint64_t bytes = progress.received_bytes - progress.first_bytes;
    if (!progress.first_arrival || bytes < min_measured_bytes) {
        return std::nullopt;
    }
    const auto time = std::chrono::floor<microseconds>(now - *progress.first_arrival);
    const auto time_us = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(time.count()));
    return bytes * us_per_second / time_us;
}

std::uint64_t expected_remaining_bytes(const transfer_progress& progress) {
    if (!progress.announced_bytes) {
        return progress.received_bytes;
    }
    return *progress.announced_bytes - std::min(*progress.announced_bytes, progress.received_bytes);
}

bool should_read_all_items(const catch_up_options& options) {
    if (options.remaining_bytes <= options.full_read_bytes) {
        return false;
    }
    const milliseconds rest_time = transfer_time(options.remaining_bytes, options.bytes_per_second);
    const milliseconds full_read_time =
        options.call_latency + transfer_time(options.full_read_bytes, options.bytes_per_second);
    return rest_time > full_read_time && options.known_age + rest_time + full_read_time > max_change_age;
}

} // namespace cassiaspan
