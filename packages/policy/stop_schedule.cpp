#include "stop_schedule.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr int refusal_grace_divisor = 3;
constexpr milliseconds max_refusal_time{2500};
constexpr int last_answers_grace_divisor = 6;
// How long before the end of the grace period the last answers are due, and the process exits.
constexpr milliseconds last_answers_margin{400};
constexpr milliseconds exit_margin{250};
// Part of the grace period in which the last answers are written.
constexpr int writing_grace_divisor = 15;

} // namespace

stop_schedule make_stop_schedule(milliseconds grace, milliseconds max_signal_delay) {
    const milliseconds end = grace - max_signal_delay;
    const milliseconds writing_time =
        std::min(last_answers_margin - exit_margin, grace / writing_grace_divisor);
    stop_schedule schedule;
    schedule.refusal = std::max(milliseconds(0),
                                std::min(max_refusal_time, grace / refusal_grace_divisor) - max_signal_delay);
    schedule.last_answers = std::max(grace - grace / last_answers_grace_divisor, end - last_answers_margin);
    schedule.exit = std::max(schedule.last_answers + writing_time, end - exit_margin);
    return schedule;
}

} // namespace cassiaspan
