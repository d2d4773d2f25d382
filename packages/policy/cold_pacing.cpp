#include "cold_pacing.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// How long a turn lasts. VMs whose turns have begun within this time may send together: well below a second,
// as targets count requests per second.
constexpr fractional_seconds turn_length{0.4};

// The present turn, counted from the clock's beginning, and the time since it began.
struct turn {
    std::int64_t number = 0;
    fractional_seconds age{};
};

turn find_turn(const cold_terms& terms, instant now) {
    constexpr double min_rate = 0.01;
    const fractional_seconds interval(static_cast<double>(std::max<std::size_t>(terms.vm_count, 1)) /
                                      std::max(min_rate, terms.requests_per_second));
    const double passed = fractional_seconds(now.time_since_epoch()) / interval - terms.phase;
    const double number = std::floor(passed);
    return {static_cast<std::int64_t>(number), (passed - number) * interval};
}

} // namespace

bool may_send_cold(const cold_pacing& pacing, const cold_terms& terms, instant now) {
    const turn present = find_turn(terms, now);
    return present.number != pacing.used_turn && present.age < turn_length;
}

void note_sent_cold(cold_pacing& pacing, const cold_terms& terms, instant now) {
    pacing.used_turn = find_turn(terms, now).number;
}

} // namespace cassiaspan
