// One request on its way through the passes of caller_service.
#pragma once

#include "caller_service.h"

namespace cassiaspan {

// When a refused caller may come back.
constexpr milliseconds retry_soon{200};
constexpr milliseconds retry_later{1000};

// Returns a refusal of a request that certainly had no effect.
inline refusal refuse_not_run(refusal_reason reason, milliseconds retry_after = milliseconds{0}) {
    return {reason, run_state::not_run, retry_after};
}

// What the passes find out, in their order.
struct caller_service::request_state {
    caller_connection& caller;
    std::string id;
    instant started;
    instant deadline;
    std::shared_ptr<const generation_view> generation;
    request_head head;
    const service_config* service = nullptr;
    const workspace_config* workspace = nullptr;
    bool non_idempotent = false;
    std::string body_prefix;
    bool body_goes_on = false;
    std::uint64_t fingerprint = 0;
    std::optional<schema::IdempotencyRecord> record;
    std::optional<schema::IdempotencyRecord> kept_answer;
    bool token_taken = false;
    instant token_time;
    std::vector<std::string> tried;
    std::optional<target_slot> slot;
    bool may_have_run = false;
    int status = 0;
};

} // namespace cassiaspan
