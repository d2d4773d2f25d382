// Refusals: why a request was not served, and whether it may have run.
#pragma once

#include "clock.h"

#include <string>
#include <string_view>

namespace cassiaspan {

// Why a request is refused. Callers see the name as a machine-readable reason.
enum class refusal_reason {
    bad_request,
    body_too_large,
    unknown_route,
    missing_key,
    unknown_key,
    service_not_in_contract,
    not_licensed,
    over_rate,
    queue_full,
    no_target,
    deadline_passed,
    idempotency_key_reused,
    idempotency_key_in_progress,
    idempotency_homes_unavailable,
    idempotency_record_lost,
    answer_not_kept,
    quarantined,
    target_failed,
    answer_broken,
    stopping
};

// Whether a refused request may have run.
enum class run_state { not_run, unknown };

// A refusal as it is sent.
struct refusal {
    refusal_reason reason = refusal_reason::bad_request;
    run_state run = run_state::not_run;
    milliseconds retry_after{0};
    auto operator<=>(const refusal&) const = default;
};

// Returns the name that callers see, such as "over-rate".
[[nodiscard]] std::string_view to_string(refusal_reason reason);
[[nodiscard]] std::string_view to_string(run_state run);
// Returns the HTTP status code of a refusal.
[[nodiscard]] int status_of(refusal_reason reason);
// Returns the JSON body of a refusal.
[[nodiscard]] std::string render_refusal(const refusal& value, const std::string& request_id);

} // namespace cassiaspan
