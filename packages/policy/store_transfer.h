// Decides how long a VM goes on reading a response of the store, whose size neither the store nor the VM
// bounds. A response may take as long as it needs while it arrives at a useful rate. The changes that a watch
// returns are given up when reading all items instead brings the VM up to date sooner.
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
// Rate of a link that has not been measured, in bytes per second: that of the slowest expected one, 10
// Mbit/s.
constexpr std::uint64_t default_bytes_per_second = 1'250'000;
// Transfers of fewer bytes do not show the rate of the link.
constexpr std::uint64_t min_measured_bytes = std::uint64_t{64} * 1024;
// A change has to be in force this long after the store has acknowledged it.
constexpr milliseconds max_change_age{2500};

// The course of one call, in bytes of the response.
struct transfer_progress {
    instant started_at;
    // Since when no byte has arrived; later than `started_at` if the store was allowed to wait.
    instant silent_since;
    std::uint64_t received_bytes = 0;
    // When the first bytes arrived, and how many.
    std::optional<instant> first_arrival;
    std::uint64_t first_bytes = 0;
    // Size of the body that the response's header announces; unset if it announces none.
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

// Returns the rate at which the link has carried the response since it began, bytes per second; unset if too
// few bytes have arrived to tell.
[[nodiscard]] std::optional<std::uint64_t> measure_rate(const transfer_progress& progress, instant now);

// What a VM knows when it decides between the changes that a watch returns and all items.
struct catch_up_options {
    // Bytes that are still to arrive of the changes.
    std::uint64_t remaining_bytes = 0;
    // Bytes of all items, as responses of the store contain them.
    std::uint64_t full_read_bytes = 0;
    // Rate of the link, bytes per second.
    std::uint64_t bytes_per_second = default_bytes_per_second;
    // Time from a call until its response begins.
    milliseconds call_latency{};
    // For how long the VM has known that it may lack changes.
    milliseconds known_age{};
    auto operator<=>(const catch_up_options&) const = default;
};

// Returns how many bytes are still to arrive. Of a response that does not announce its size, as many are
// expected as have arrived.
[[nodiscard]] std::uint64_t expected_remaining_bytes(const transfer_progress& progress);

// Returns whether to give up the changes and read all items. Not while the rest of the changes is as small as
// all items, or arrives soon enough that the changes after them can be read before they must be in force.
[[nodiscard]] bool should_read_all_items(const catch_up_options& options);

} // namespace cassiaspan
