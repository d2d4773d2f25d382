#include "caller_service.h"

#include "caller.pb.h"
#include "digest.h"
#include "event_log.h"
#include "members.h"
#include "request_state.h"

#include <array>
#include <civetweb.h>
#include <google/protobuf/util/json_util.h>

namespace cassiaspan {

namespace {

constexpr const char* steer_path = "/v1/steer";
// Retries stay below this part of the requests, but for the reserve.
constexpr double retries_per_request = 0.1;
constexpr int first_error_status = 500;

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
    std::vector<vm_candidate> vms = this->parts.node.steerable_vms();
    {
        const std::scoped_lock lock(this->mutex);
        vms = rank_vms(std::move(vms), where.region.empty() ? self : where, this->random);
    }
    schema::SteerAnswer answer;
    answer.set_service(service);
    answer.set_expires_in_ms(static_cast<std::uint32_t>(this->parts.settings.steer_expiry_ms()));
    for (const vm_candidate& vm : vms) {
        auto* row = answer.add_vms();
        row->set_vm(vm.name);
        row->set_address(vm.caller_address);
        row->set_availability_zone(vm.zone_location.availability_zone);
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
    request.service = request.generation->configuration->find_service_by_path(request.head.path);
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
    if (!allows_authenticated_requests(this->parts.node.verdict())) {
        return tl::make_unexpected(refuse_not_run(refusal_reason::not_licensed, retry_soon));
    }
    request.workspace = request.generation->configuration->find_workspace_by_key(request.head.key);
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
        return tl::make_unexpected(refuse_not_run(refusal_reason::quarantined, quarantine_duration));
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
        const double rate = static_cast<double>(request.workspace->quota.rate) / microrequests_per_request;
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
