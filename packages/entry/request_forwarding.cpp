// The passes that send a request to a target: choose, check again, dispatch, judge.

#include "event_log.h"
#include "request_state.h"

namespace cassiaspan {

namespace {

constexpr std::size_t max_attempts = 3;
// A request whose slot came later than this takes its token anew, so that tokens are spent when requests
// start.
constexpr milliseconds token_lifetime{5};

} // namespace

caller_service::pass_result caller_service::choose_target(request_state& request) {
    const std::string workspace = request.workspace == nullptr ? "" : request.workspace->name;
    const std::size_t weight = request.workspace == nullptr ? 1 : request.workspace->weight;
    auto slot = this->parts.targets.acquire(
        {request.service->name, workspace, weight, request.deadline, request.tried});
    if (slot) {
        request.slot = std::move(*slot);
        return {};
    }
    switch (slot.error()) {
    case slot_refusal::queue_full:
        return tl::make_unexpected(refuse_not_run(refusal_reason::queue_full, retry_soon));
    case slot_refusal::timed_out:
        return tl::make_unexpected(refuse_not_run(this->parts.time.now() >= request.deadline
                                                      ? refusal_reason::deadline_passed
                                                      : refusal_reason::queue_full,
                                                  retry_soon));
    case slot_refusal::none_available:
        break;
    }
    return tl::make_unexpected(refuse_not_run(refusal_reason::no_target, retry_later));
}

bool caller_service::is_still_allowed(const request_state& request) {
    if (request.workspace == nullptr) {
        return true;
    }
    const auto present = this->parts.node.current();
    if (present != request.generation) {
        const workspace_config* owner = present->configuration->find_workspace_by_key(request.head.key);
        if (owner == nullptr || owner->name != request.workspace->name ||
            owner->services.count(request.service->name) == 0) {
            return false;
        }
    }
    return allows_authenticated_requests(this->parts.node.verdict());
}

// The last check before the first byte may reach the target: deadline, key, configuration freshness,
// quarantine, budget.
caller_service::pass_result caller_service::check_before_dispatch(request_state& request) {
    const instant now = this->parts.time.now();
    if (now >= request.deadline) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::deadline_passed));
    }
    if (!this->is_still_allowed(request)) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::not_licensed, retry_soon));
    }
    if (this->parts.quarantines.is_refused(request.fingerprint)) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::quarantined, quarantine_duration));
    }
    const bool stale_token = request.token_taken && now - request.token_time > token_lifetime;
    if (request.workspace != nullptr && (stale_token || !request.token_taken)) {
        if (request.token_taken) {
            this->parts.budgets.refund(request.workspace->name);
            request.token_taken = false;
        }
        return this->admit(request);
    }
    return {};
}

caller_service::pass_result caller_service::forward(request_state& request) {
    pass_result done;
    for (std::size_t attempts = 0; attempts < max_attempts; ++attempts) {
        const std::size_t tried_before = request.tried.size();
        done = this->forward_once(request);
        const bool again = !done && request.tried.size() > tried_before && request.status < 0;
        if (!again) {
            break;
        }
        request.status = 0;
    }
    if (!done && request.may_have_run) {
        done =
            tl::make_unexpected(refusal{done.error().reason, run_state::unknown, done.error().retry_after});
    }
    if (!done && request.token_taken && !request.may_have_run) {
        this->parts.budgets.refund(request.workspace->name);
    }
    if (!done && request.record && !request.may_have_run) {
        this->parts.records.finish_everywhere(*request.record, request.workspace->home_region, true);
    }
    return done;
}

// Makes one attempt. A negative status asks for another.
caller_service::pass_result caller_service::forward_once(request_state& request) {
    auto chosen = this->choose_target(request);
    if (!chosen) {
        return chosen;
    }
    auto checked = this->check_before_dispatch(request);
    if (!checked) {
        this->parts.targets.release(*request.slot, target_outcome::neutral);
        return checked;
    }
    request.tried.push_back(request.slot->target);
    const attempt_result result = this->dispatch(request);
    if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::cut) {
        request.status = result.status;
        this->settle_record(request, result);
        return {};
    }
    if (result.outcome != attempt_outcome::not_run) {
        request.may_have_run = true;
        // What may have run has spent its token; another attempt takes its own.
        request.token_taken = false;
    }
    request.status = this->may_retry(request, result) ? -1 : 0;
    return tl::make_unexpected(this->judge_failure(request, result));
}

attempt_result caller_service::dispatch(request_state& request) {
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - this->parts.time.now());
    const std::string workspace = request.workspace == nullptr ? "" : request.workspace->name;
    const std::string forward_head =
        render_forward_head(request.head, *request.generation->configuration,
                            {request.slot->address, request.id, workspace, left});
    const attempt_input input{
        request.head,
        forward_head,
        request.body_prefix,
        request.body_goes_on,
        request.non_idempotent,
        request.deadline,
        request.id,
        request.record ? static_cast<std::size_t>(this->parts.settings.max_replay_bytes()) : 0,
        -1,
        [&] { return this->is_still_allowed(request); }};
    this->parts.quarantines.enter(request.slot->target, request.fingerprint);
    attempt_result result =
        attempt(input, *request.slot, request.caller, this->parts.guard, this->parts.time);
    if (result.died) {
        this->parts.quarantines.note_death_at(request.slot->target);
    } else if (result.outcome == attempt_outcome::answered) {
        this->parts.quarantines.note_served(request.fingerprint);
    }
    this->parts.quarantines.leave(request.slot->target, request.fingerprint);
    const bool failure = result.outcome == attempt_outcome::failed ||
                         (result.outcome == attempt_outcome::not_run && !result.shed);
    const bool neutral = result.shed || result.outcome == attempt_outcome::caller_gone;
    const target_outcome health = neutral   ? target_outcome::neutral
                                  : failure ? target_outcome::failure
                                            : target_outcome::success;
    if (this->parts.targets.release(*request.slot, health)) {
        log_event(schema::EVENT_TARGET_EJECTED, severity::warning, request.id,
                  "target=" + request.slot->target);
    }
    if (failure) {
        log_event(schema::EVENT_TARGET_FAILED, severity::warning, request.id,
                  "target=" + request.slot->target);
    }
    return result;
}

bool caller_service::take_retry() {
    const std::scoped_lock lock(this->mutex);
    if (this->retry_allowance < 1) {
        return false;
    }
    this->retry_allowance -= 1;
    return true;
}

bool caller_service::may_retry(const request_state& request, const attempt_result& result) {
    const bool safe = result.outcome == attempt_outcome::not_run ||
                      (result.outcome == attempt_outcome::failed && !request.non_idempotent);
    return safe && !result.body_consumed && this->parts.time.now() < request.deadline && this->take_retry();
}

refusal caller_service::judge_failure(request_state& request, const attempt_result& result) {
    const run_state run = request.may_have_run ? run_state::unknown : run_state::not_run;
    if (result.outcome == attempt_outcome::caller_gone) {
        request.caller.close_after_answer();
        return {refusal_reason::bad_request, run, milliseconds{0}};
    }
    if (result.outcome == attempt_outcome::not_run) {
        return {refusal_reason::no_target, run, retry_soon};
    }
    const bool late = this->parts.time.now() >= request.deadline;
    return {late ? refusal_reason::deadline_passed : refusal_reason::target_failed, run, milliseconds{0}};
}

} // namespace cassiaspan
