// The monotonic clock for all time-based decisions. It is injected, so that tests can set the time.
#pragma once

#include <chrono>
#include <cstdint>

namespace cassiaspan {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// A time point of a monotonic clock. Time points of different VMs must not be compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, nanoseconds>;

// Interface of a monotonic clock.
class clock {
public:
    virtual ~clock() = default;
    // Returns the current time.
    [[nodiscard]] virtual instant now() const = 0;

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

// CLOCK_BOOTTIME. It continues while the VM is suspended, so that freshness proofs age during that time.
class boot_clock final : public clock {
public:
    [[nodiscard]] instant now() const override;
};

// Returns the wall-clock time in milliseconds since 1970. For logs and incarnation numbers, not for
// time-based decisions.
[[nodiscard]] std::int64_t unix_milliseconds();

} // namespace cassiaspan
