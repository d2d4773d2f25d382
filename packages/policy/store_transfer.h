// Decides how long a VM goes on reading a response of the store, whose size neither the store nor the VM
// bounds. A response may take as long as it needs while it arrives at a useful rate.
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace cassiaspan {

// How long a response may arrive without a single byte. The store responds within milliseconds, or within a
// few hundred milliseconds when it is slow.
constexpr milliseconds max_transfer_silence{900};
// A response that brings less than this in each such interval is abandoned: about 0.1 Mbit/s, 1 % of the
// slowest link that a VM is expected to have.
constexpr milliseconds transfer_rate_interval{5000};
constexpr std::uint64_t min_bytes_per_interval = std::uint64_t{64} * 1024;

// The course of one call, in bytes of the response's body.
struct transfer_progress {
    instant started_at;
    // Since when no byte has arrived; later than `started_at` if the store was allowed to wait.
    instant silent_since;
    std::uint64_t received_bytes = 0;
    // When the first bytes arrived, and how many.
    std::optional<instant> first_arrival;
    std::uint64_t first_bytes = 0;
    // Size that the response's header announces; unset if it announces none.
    std::optional<std::uint64_t> announced_bytes;
    // Start of the current interval of the rate check, and what had been received by then.
    instant interval_start;
    std::uint64_t bytes_before_interval = 0;
    auto operator<=>(const transfer_progress&) const = default;
};

// Returns the progress of a call that is sent now, for which the store may wait up to `wait` before it
// responds.
[[nodiscard]] transfer_progress start_transfer(instant now, milliseconds wait);

// Returns the progress after `bytes` more have arrived.
[[nodiscard]] transfer_progress record_arrival(const transfer_progress& progress, std::uint64_t bytes,
                                               instant now);

// Whether a transfer may go on.
enum class transfer_check {
    in_progress,
    // No byte has arrived for max_transfer_silence.
    silent,
    // Fewer than min_bytes_per_interval have arrived within transfer_rate_interval.
    too_slow
};

[[nodiscard]] transfer_check check_transfer(const transfer_progress& progress, instant now);

// Returns when the transfer has to be checked again unless bytes arrive before.
[[nodiscard]] instant next_transfer_check(const transfer_progress& progress);

} // namespace cassiaspan
