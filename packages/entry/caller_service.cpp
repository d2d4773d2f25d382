#include "caller_service.h"

#include "caller.pb.h"
#include "digest.h"
#include "event_log.h"
#include "members.h"

#include <array>
#include <civetweb.h>
#include <google/protobuf/util/json_util.h>

namespace cassiaspan {

namespace {

constexpr const char* steer_path = "/v1/steer";
// Retries stay below this part of the requests, with a small reserve for quiet times.
constexpr double retries_per_request = 0.1;
constexpr double max_retry_allowance = 10;
constexpr std::size_t max_attempts = 3;
// A request whose slot came later than this takes its token anew, so that tokens are spent when requests
// start.
constexpr milliseconds token_lifetime{5};
constexpr milliseconds retry_soon{200};
constexpr milliseconds retry_later{1000};
constexpr int first_error_status = 500;

refusal refuse_not_run(refusal_reason reason, milliseconds retry_after = milliseconds{0}) {
    return {reason, run_state::not_run, retry_after};
}

std::string query_value(const mg_request_info& info, const char* name) {
    std::array<char, 256> value{};
    const std::string query = info.query_string == nullptr ? "" : info.query_string;
    const int size = mg_get_var(query.data(), query.size(), name, value.data(), value.size());
    return size > 0 ? std::string(value.data(), static_cast<std::size_t>(size)) : "";
}

// Two requests with one idempotency key are the same when this text is.
std::string fingerprint_text(const request_head& head, const std::string& body_prefix) {
    return head.method + " " + head.path + "?" + head.query + "\n" +
           std::to_string(head.content_length.value_or(-1)) + "\n" + body_prefix;
}

} // namespace

// One request on its way through the passes.
struct caller_service::request_state {
    caller_connection& caller;
    std::string id;
    instant started;
    instant deadline;
    std::shared_ptr<const generation_view> generation;
    request_head head;
    const service_view* service = nullptr;
    const workspace_view* workspace = nullptr;
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

caller_service::caller_service(caller_service_parts parts_in, std::uint64_t seed)
    : parts(parts_in), random(seed) {}

int caller_service::serve(mg_connection* connection, const mg_request_info& info, http_server& server) {
    ++this->active;
    caller_connection caller(connection, server, this->parts.settings.max_body_bytes());
    if (server.is_crowded() || this->parts.node.is_leaving()) {
        caller.close_after_answer();
    }
    const std::string path = info.local_uri == nullptr ? "" : info.local_uri;
    const int status =
        path == steer_path ? this->serve_steer(info, caller) : this->serve_request(info, caller);
    --this->active;
    ++this->finished;
    return status;
}

int caller_service::serve_steer(const mg_request_info& info, caller_connection& caller) {
    const std::string service = query_value(info, "service");
    const location where{query_value(info, "region"), query_value(info, "availability_zone")};
    const auto generation = this->parts.node.current();
    std::string prefix;
    if (std::string(info.request_method) != "GET") {
        return caller.refuse(refuse_not_run(refusal_reason::bad_request), "");
    }
    static_cast<void>(caller.read_prefix({}, prefix));
    if (!generation || (!service.empty() && generation->configuration->find_service(service) == nullptr)) {
        return caller.refuse(
            refuse_not_run(generation ? refusal_reason::unknown_route : refusal_reason::not_licensed), "");
    }
    const location self{this->parts.node.self().region(), this->parts.node.self().availability_zone()};
    std::vector<vm_state> vms = this->parts.node.steerable_vms();
    {
        const std::scoped_lock lock(this->mutex);
        vms = order_vms(std::move(vms), where.region.empty() ? self : where, this->random);
    }
    schema::SteerAnswer answer;
    answer.set_service(service);
    answer.set_expires_in_ms(static_cast<std::uint32_t>(this->parts.settings.steer_expiry_ms()));
    for (const vm_state& vm : vms) {
        auto* row = answer.add_vms();
        row->set_vm(vm.name);
        row->set_address(vm.caller_address);
        row->set_availability_zone(vm.place.availability_zone);
    }
    std::string body;
    static_cast<void>(google::protobuf::util::MessageToJsonString(answer, &body));
    return caller.answer(200, "application/json", body, "");
}

int caller_service::serve_request(const mg_request_info& info, caller_connection& caller) {
    request_state request{caller,
                          this->next_request_id(),
                          this->parts.time.now(),
                          {},
                          this->parts.node.current(),
                          {},
                          nullptr,
                          nullptr,
                          false,
                          {},
                          false,
                          0,
                          {},
                          {},
                          false,
                          {},
                          {},
                          {},
                          false,
                          0};
    const auto done =
        this->identify(request, info)
            .and_then([&] { return this->read_prefix(request); })
            .and_then([&] { return this->admit(request); })
            .and_then([&] { return this->settle_idempotency(request); })
            .and_then([&] { return request.kept_answer ? pass_result{} : this->forward(request); });
    if (!done) {
        const int status = caller.refuse(done.error(), request.id);
        this->finish(request, status, done.error());
        return status;
    }
    if (request.kept_answer) {
        request.status = this->replay(request);
    }
    this->finish(request, request.status, std::nullopt);
    return request.status;
}

caller_service::pass_result caller_service::identify(request_state& request, const mg_request_info& info) {
    auto head = read_request_head(info);
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    request.head = std::move(*head);
    if (this->refusing) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::stopping, milliseconds{1}));
    }
    const milliseconds longest{this->parts.settings.request_timeout_ms()};
    request.deadline = request.started + std::min(longest, request.head.timeout.value_or(longest));
    if (!request.generation) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::not_licensed, retry_later));
    }
    request.service = request.generation->configuration->find_by_path(request.head.path);
    if (request.service == nullptr) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::unknown_route));
    }
    request.non_idempotent = is_non_idempotent(*request.service, request.head.method);
    if (request.service->open) {
        return {};
    }
    if (request.head.key.empty()) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::missing_key));
    }
    // A VM that may be behind must not tell a caller that its key is unknown: it may just have been given.
    if (!allows_keyed_work(this->parts.node.verdict())) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::not_licensed, retry_soon));
    }
    request.workspace = request.generation->configuration->find_by_key(request.head.key);
    if (request.workspace == nullptr) {
        request.caller.close_after_answer();
        return tl::make_unexpected(refuse_not_run(refusal_reason::unknown_key));
    }
    if (request.workspace->services.count(request.service->name) == 0) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::service_not_in_contract));
    }
    return {};
}

caller_service::pass_result caller_service::read_prefix(request_state& request) {
    const body_progress progress = request.caller.read_prefix(request.head, request.body_prefix);
    if (progress == body_progress::too_large) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::body_too_large));
    }
    if (progress == body_progress::broken) {
        request.caller.close_after_answer();
        return tl::make_unexpected(refuse_not_run(refusal_reason::bad_request));
    }
    request.body_goes_on = progress == body_progress::more;
    const std::string workspace = request.workspace == nullptr ? "" : request.workspace->name;
    request.fingerprint =
        stable_hash(fingerprint_text(request.head, request.body_prefix), stable_hash(workspace));
    if (this->parts.quarantines.is_refused(request.fingerprint)) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::quarantined, quarantine_time));
    }
    return {};
}

caller_service::pass_result caller_service::admit(request_state& request) {
    if (request.workspace == nullptr) {
        return {};
    }
    const milliseconds wait{this->parts.settings.token_wait_ms()};
    request.token_time = this->parts.time.now();
    const instant deadline = std::min(request.deadline, request.token_time + wait);
    if (!this->parts.budgets.take(request.workspace->name, deadline)) {
        const double rate = static_cast<double>(request.workspace->contract.rate) / micro_requests;
        const milliseconds pause{rate > 0 ? static_cast<std::int64_t>(std::max(1.0, 1000.0 / rate)) : 60'000};
        return tl::make_unexpected(refuse_not_run(refusal_reason::over_rate, pause));
    }
    request.token_time = this->parts.time.now();
    request.token_taken = true;
    return {};
}

caller_service::pass_result caller_service::settle_idempotency(request_state& request) {
    if (request.head.idempotency_key.empty() || request.workspace == nullptr || !request.non_idempotent) {
        return {};
    }
    const auto& workspace = *request.workspace;
    const std::int64_t unix_now =
        std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    if (is_record_lost(request.generation->head, workspace.name, request.head.idempotency_key,
                       workspace.home_region, unix_now)) {
        return tl::make_unexpected(refusal{refusal_reason::idempotency_record_lost, run_state::unknown, {}});
    }
    schema::IdempotencyRecord record;
    record.set_workspace(workspace.name);
    record.set_key(request.head.idempotency_key);
    record.set_fingerprint(sha256_hex(fingerprint_text(request.head, request.body_prefix)));
    record.set_retention_ms(static_cast<std::uint64_t>(workspace.idempotency_retention.count()));
    {
        const std::scoped_lock lock(this->mutex);
        record.set_attempt(this->random() | 1U);
    }
    const claim_result claimed = this->parts.records.claim_everywhere(record, workspace.home_region);
    if (claimed.outcome == claim_outcome::granted) {
        request.record = std::move(record);
        return {};
    }
    if (claimed.outcome == claim_outcome::unavailable || !claimed.existing) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::idempotency_homes_unavailable, retry_soon));
    }
    if (claimed.existing->fingerprint() != record.fingerprint()) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::idempotency_key_reused));
    }
    if (!claimed.existing->done()) {
        return tl::make_unexpected(
            refusal{refusal_reason::idempotency_key_in_progress, run_state::unknown, retry_later});
    }
    if (claimed.existing->answer_dropped()) {
        return tl::make_unexpected(refusal{refusal_reason::answer_not_kept, run_state::unknown, {}});
    }
    request.kept_answer = *claimed.existing;
    return {};
}

int caller_service::replay(request_state& request) {
    const schema::IdempotencyRecord& kept = *request.kept_answer;
    if (!request.caller.body_done()) {
        request.caller.close_after_answer();
    }
    const std::string type = kept.content_type().empty() ? "application/octet-stream" : kept.content_type();
    return request.caller.answer(static_cast<int>(kept.status()), type, kept.body(), request.id);
}

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
    case slot_refusal::none_serving:
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
        const workspace_view* owner = present->configuration->find_by_key(request.head.key);
        if (owner == nullptr || owner->name != request.workspace->name ||
            owner->services.count(request.service->name) == 0) {
            return false;
        }
    }
    return allows_keyed_work(this->parts.node.verdict());
}

// The last look before the first byte may reach the target: key, licence, deadline, budget.
caller_service::pass_result caller_service::check_before_dispatch(request_state& request) {
    const instant now = this->parts.time.now();
    if (now >= request.deadline) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::deadline_passed));
    }
    if (!this->is_still_allowed(request)) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::not_licensed, retry_soon));
    }
    if (this->parts.quarantines.is_refused(request.fingerprint)) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::quarantined, quarantine_time));
    }
    const bool stale_token = request.token_taken && now - request.token_time > token_lifetime;
    if (request.workspace != nullptr && (stale_token || !request.token_taken)) {
        if (request.token_taken) {
            this->parts.budgets.give_back(request.workspace->name);
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
        this->parts.budgets.give_back(request.workspace->name);
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

void caller_service::settle_record(request_state& request, const attempt_result& result) {
    if (!request.record) {
        return;
    }
    schema::IdempotencyRecord& record = *request.record;
    record.set_done(true);
    record.set_status(static_cast<std::uint32_t>(result.status));
    record.set_content_type(result.content_type);
    record.set_body(result.collected);
    record.set_answer_dropped(!result.collected_whole);
    this->parts.records.finish_everywhere(record, request.workspace->home_region, false);
}

void caller_service::finish(request_state& request, int status, const std::optional<refusal>& refused) {
    {
        const std::scoped_lock lock(this->mutex);
        this->retry_allowance = std::min(max_retry_allowance, this->retry_allowance + retries_per_request);
    }
    request_sample sample;
    sample.workspace = request.workspace == nullptr ? "" : request.workspace->name;
    sample.service = request.service == nullptr ? "" : request.service->name;
    sample.latency = this->parts.time.now() - request.started;
    sample.failed = status >= first_error_status;
    sample.slow = request.workspace != nullptr && request.workspace->latency_objective > milliseconds{0} &&
                  sample.latency > request.workspace->latency_objective;
    if (refused) {
        sample.refusal = std::string(to_string(refused->reason));
        log_event(schema::EVENT_REQUEST_REFUSED, severity::info, request.id,
                  "reason=" + sample.refusal + " run=" + std::string(to_string(refused->run)));
    } else {
        log_event(schema::EVENT_REQUEST_DONE, severity::debug, request.id,
                  "status=" + std::to_string(status));
    }
    this->parts.metrics.note(sample);
}

std::string caller_service::next_request_id() {
    const std::scoped_lock lock(this->mutex);
    return std::to_string(this->random());
}

} // namespace cassiaspan
