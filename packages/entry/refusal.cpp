#include "refusal.h"

#include "caller.pb.h"

#include <array>
#include <google/protobuf/util/json_util.h>

namespace cassiaspan {

namespace {

struct reason_row {
    refusal_reason reason;
    std::string_view name;
    int status;
};

constexpr std::array<reason_row, 20> reason_rows{{
    {refusal_reason::bad_request, "bad-request", 400},
    {refusal_reason::body_too_large, "body-too-large", 413},
    {refusal_reason::unknown_route, "unknown-route", 404},
    {refusal_reason::missing_key, "missing-key", 401},
    {refusal_reason::unknown_key, "unknown-key", 401},
    {refusal_reason::service_not_in_contract, "service-not-in-contract", 403},
    {refusal_reason::not_licensed, "not-licensed", 503},
    {refusal_reason::over_rate, "over-rate", 429},
    {refusal_reason::queue_full, "queue-full", 503},
    {refusal_reason::no_target, "no-target", 503},
    {refusal_reason::deadline_passed, "deadline-passed", 504},
    {refusal_reason::idempotency_key_reused, "idempotency-key-reused", 422},
    {refusal_reason::idempotency_key_in_progress, "idempotency-key-in-progress", 409},
    {refusal_reason::idempotency_homes_unavailable, "idempotency-homes-unavailable", 503},
    {refusal_reason::idempotency_record_lost, "idempotency-record-lost", 409},
    {refusal_reason::answer_not_kept, "answer-not-kept", 409},
    {refusal_reason::quarantined, "quarantined", 503},
    {refusal_reason::target_failed, "target-failed", 502},
    {refusal_reason::answer_broken, "answer-broken", 502},
    {refusal_reason::stopping, "stopping", 503},
}};

const reason_row& row_of(refusal_reason reason) {
    return reason_rows.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view to_string(refusal_reason reason) {
    return row_of(reason).name;
}

std::string_view to_string(run_state run) {
    return run == run_state::not_run ? "not-run" : "unknown";
}

int status_of(refusal_reason reason) {
    return row_of(reason).status;
}

std::string render_refusal(const refusal& value, const std::string& request_id) {
    schema::Refusal message;
    message.set_reason(std::string(to_string(value.reason)));
    message.set_run(std::string(to_string(value.run)));
    message.set_request_id(request_id);
    message.set_retry_after_ms(static_cast<std::uint32_t>(value.retry_after.count()));
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(message, &text));
    return text;
}

} // namespace cassiaspan
