// The clock that all decisions read. It is passed in, so that tests move time by hand.
#pragma once

#include <chrono>
#include <cstdint>

namespace cassiaspan {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// A point on a clock that never runs backwards. Points of two VMs cannot be compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, nanoseconds>;

// Tells the time.
class clock {
public:
    virtual ~clock() = default;
    // Returns the present instant.
    [[nodiscard]] virtual instant now() const = 0;

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

// The machine's clock since boot. It goes on while the VM is suspended, so that a proof ages meanwhile.
class boot_clock final : public clock {
public:
    [[nodiscard]] instant now() const override;
};

// Returns the time of day, milliseconds since 1970. For logs and for telling incarnations apart, not for
// decisions.
[[nodiscard]] std::int64_t unix_milliseconds();

} // namespace cassiaspan
