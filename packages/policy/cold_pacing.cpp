#include "cold_pacing.h"

#include <algorithm>

namespace cassiaspan {

namespace {

nanoseconds interval(double requests_per_second, std::size_t vm_count) {
    constexpr double min_rate = 0.01;
    const std::chrono::duration<double> each(static_cast<double>(std::max<std::size_t>(vm_count, 1)) /
                                             std::max(min_rate, requests_per_second));
    return std::chrono::duration_cast<nanoseconds>(each);
}

} // namespace

bool may_send_cold(cold_pacing& pacing, double requests_per_second, std::size_t vm_count, double phase,
                   instant now) {
    if (!pacing.started) {
        pacing.started = true;
        const auto wait = phase * static_cast<double>(interval(requests_per_second, vm_count).count());
        pacing.next = now + nanoseconds(static_cast<std::int64_t>(wait));
    }
    return now >= pacing.next;
}

void note_sent_cold(cold_pacing& pacing, double requests_per_second, std::size_t vm_count, instant now) {
    pacing.next = now + interval(requests_per_second, vm_count);
}

} // namespace cassiaspan
