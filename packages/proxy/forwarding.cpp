#include "forwarding.h"

#include "class_admission.h"
#include "crash_suspects.h"
#include "relay.h"
#include "retry_after.h"
#include "target_selection.h"

#include <algorithm>
#include <array>

namespace cassiaspan {

namespace {

// Returns the header to send to targets: the caller's without hop-by-hop headers, the workspace's key and the
// headers that this VM sets itself, and with the workspace's name.
http::request_header<> make_outgoing_head(const node_core& core, const caller_request& request,
                                          const request_plan& plan) {
    const header_names& names = core.platform.headers();
    http::request_header<> head;
    head.version(11);
    head.method_string(request.head.method_string());
    head.target(request.head.target());
    const std::array<boost::beast::string_view, 3> replaced_headers{names.deadline_ms, names.workspace,
                                                                    names.target_instance};
    for (const auto& field : request.head) {
        const auto is_field = [&](boost::beast::string_view name) {
            return boost::beast::iequals(field.name_string(), name);
        };
        const bool is_workspace_key =
            field.name() == http::field::authorization && plan.config->rules().keys_required;
        const bool is_replaced = std::any_of(replaced_headers.begin(), replaced_headers.end(), is_field);
        if (!is_workspace_key && !is_replaced && !is_relay_header(field.name_string()) &&
            !is_hop_by_hop(request.head, field.name_string()) &&
            field.name() != http::field::content_length && field.name() != http::field::expect) {
            head.insert(field.name_string(), field.value());
        }
    }
    if (plan.workspace != nullptr) {
        head.set(names.workspace, plan.workspace->name);
    }
    return head;
}

// Returns the request to send to targets, with the body framing of its header: by Content-Length or chunked.
// Takes the body out of the caller's request.
outgoing_request make_outgoing(const node_core& core, caller_request& request, const request_plan& plan,
                               body_source remaining_body) {
    outgoing_request outgoing;
    outgoing.head = make_outgoing_head(core, request, plan);
    outgoing.body = std::move(request.body);
    outgoing.remaining_body = std::move(remaining_body);
    outgoing.id = request.id;
    outgoing.is_idempotent = may_be_repeated(plan.route->kind);
    outgoing.is_relayed = request.relayed.has_value();
    http::request<http::empty_body> with_framing(std::move(outgoing.head));
    if (!request.has_unbuffered_body) {
        const bool had_body = !outgoing.body.empty() ||
                              request.head.count(http::field::content_length) != 0 ||
                              request.head.count(http::field::transfer_encoding) != 0;
        if (had_body) {
            with_framing.content_length(outgoing.body.size());
        }
    } else if (request.body_length) {
        with_framing.content_length(*request.body_length);
    } else {
        with_framing.chunked(true);
    }
    outgoing.head = std::move(with_framing.base());
    return outgoing;
}

// Sets the headers that depend on the attempt: the target's id, and the remaining time, after which the
// target stops working on the request. At least 1 ms.
void set_target_headers(const node_core& core, outgoing_request& outgoing, const target_record& target,
                        const request_plan& plan) {
    const header_names& names = core.platform.headers();
    const auto time_left = std::chrono::duration_cast<milliseconds>(plan.deadline - now_of(core));
    if (target.is_peer) {
        outgoing.head.erase(names.target_instance);
    } else {
        outgoing.head.set(names.target_instance, target.info.id);
    }
    outgoing.head.set(names.deadline_ms, std::to_string(std::max<std::int64_t>(1, time_left.count())));
}

// The attempts of one request so far.
struct forward_progress {
    // Targets that were selected, including unreachable ones.
    std::vector<target_ptr> tried;
    // Targets that the request was sent to, by this VM or by a peer.
    std::size_t attempts = 0;
    // Targets of this VM's own that were unreachable one after the other.
    std::size_t unreachable_in_a_row = 0;
    // Peers to which the request was passed.
    std::size_t relays = 0;
    // Retry-After of the last peer that refused the request.
    std::optional<milliseconds> peer_retry_after;
    // Whether the request may have been executed by any of the targets.
    bool may_have_run_at_any = false;
    attempt_end last_outcome = attempt_end::unreachable;
};

// Returns a Retry-After with a jitter of 50 % either way.
milliseconds jittered_retry_after(node_core& core, milliseconds expected) {
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    return choose_retry_after(expected, jitter(core.random));
}

// Returns the Retry-After of a request that no target may get: the time until a paused one may be used, or
// the shortest one. A caller that returned before the end of the pause would be refused again.
milliseconds retry_after_without_target(node_core& core, const request_plan& plan) {
    if (const auto pause = time_to_end_of_pause(core, plan)) {
        std::uniform_real_distribution<double> jitter(1.0, 1.5);
        return choose_retry_after(*pause, jitter(core.random));
    }
    return jittered_retry_after(core, min_retry_after);
}

// Returns the reply to a request that reached no target. Its Retry-After is the time by which the expected
// finish exceeds the latency objective, or longer if its class is short of slots.
local_reply make_refusal(node_core& core, request_plan& plan, const target_selection& selection) {
    if (selection.no_eligible_target) {
        return {503, "no_target", retry_after_without_target(core, plan)};
    }
    const auto time_to_objective =
        std::chrono::duration_cast<milliseconds>(plan.objective_deadline - now_of(core));
    record_admission(core, plan, admission_decision::refuse);
    return {503, "no_room",
            class_refusal_retry_after(core, plan, selection.expected_finish - time_to_objective)};
}

// Returns the reply to a request whose attempts have all failed.
local_reply make_failure_reply(node_core& core, const request_plan& plan, const forward_progress& progress) {
    const unsigned status = final_status(progress.last_outcome, progress.may_have_run_at_any);
    local_reply reply{status, to_string(progress.last_outcome), {}, progress.attempts};
    if (status == 503) {
        reply.retry_after = progress.peer_retry_after.value_or(retry_after_without_target(core, plan));
    }
    return reply;
}

void log_attempt(node_core& core, const caller_request& request, const target_record& target,
                 const attempt_result& result) {
    const instant now = now_of(core);
    core.log.write(now, node_event::attempt_failed,
                   log_fields()
                       .add("request", request.id)
                       .add("target", target.info.id)
                       .add("relayed", target.is_peer)
                       .add("service", target.info.service)
                       .add("end", to_string(result.outcome))
                       .add("status", result.head.result_int())
                       .add("detail", result.detail)
                       .add("latency_ms", result.latency.count())
                       .add("in_flight", target.in_flight)
                       .add("peers_in_flight", target.peers_in_flight)
                       .add("store_revision", core.mirror.position.revision));
}

// Returns whether the request may be sent to a further target, and if so takes a token of the retry budget. A
// request whose body is not fully buffered cannot be sent again.
bool may_retry(node_core& core, const request_plan& plan, const caller_request& request,
               const forward_progress& progress) {
    return is_retryable(plan.route->kind, progress.last_outcome) && progress.attempts < plan.max_attempts &&
           !request.has_unbuffered_body &&
           try_take_retry(get_service_stats(core, plan.service).retries, core.settings.retries,
                          count_bucket_replicas(core).total, now_of(core));
}

// Where a request is sent next: a target, or a peer that relays it. `target` is null if there is none; then
// `selection` says why.
struct next_hop {
    target_ptr target;
    target_selection selection;
};

// Returns whether the request may be passed to a peer.
bool may_relay(const caller_request& request, const request_plan& plan, const forward_progress& progress) {
    return !request.relayed && progress.relays < max_relays_per_request &&
           progress.attempts < plan.max_attempts;
}

// Returns whether a peer is to be preferred to this VM's own targets: they are out of reach, or have only
// just come back, or the last ones that were tried were unreachable.
bool prefers_relay(node_core& core, const request_plan& plan, const forward_progress& progress) {
    constexpr std::size_t max_unreachable_targets = 2;
    if (progress.relays > 0 || progress.unreachable_in_a_row >= max_unreachable_targets ||
        is_out_of_reach(core, plan.service)) {
        return true;
    }
    const instant now = now_of(core);
    const double direct = std::min(direct_fraction(core.reach, now),
                                   direct_fraction(get_service_stats(core, plan.service).reach, now));
    return direct < 1 && std::uniform_real_distribution<double>(0, 1)(core.random) >= direct;
}

next_hop select_next_hop(node_core& core, const caller_request& request, const request_plan& plan,
                         const forward_progress& progress) {
    const bool can_relay = may_relay(request, plan, progress);
    if (can_relay && prefers_relay(core, plan, progress)) {
        if (target_ptr peer = select_relay(core, plan, progress.tried)) {
            return {std::move(peer), {}};
        }
    }
    if (progress.relays > 0 && is_out_of_reach(core, plan.service)) {
        return {};
    }
    if (request.relayed && progress.unreachable_in_a_row > 0) {
        // This VM may be cut off as well. The VM that sent the request can try another peer.
        return {};
    }
    target_selection selection = select_target(core, plan, progress.tried);
    const bool are_all_backing_off =
        selection.no_eligible_target &&
        failed_recently(get_service_stats(core, plan.service).reach, now_of(core));
    if (can_relay && are_all_backing_off) {
        if (target_ptr peer = select_relay(core, plan, progress.tried)) {
            return {std::move(peer), {}};
        }
    }
    target_ptr target = selection.target;
    return {std::move(target), std::move(selection)};
}

// Selects where the request is sent first. If there is no room, the request waits for a while, unless waiting
// is of no use; `hop` then has no target if it was cancelled, or if there was still no room at the end.
asio::awaitable<void> select_first_hop(node_core& core, const caller_request& request, request_plan& plan,
                                       cancellation_ptr cancellation, next_hop& hop) {
    const forward_progress progress;
    const bool goes_first = !has_more_urgent_waiter(core, plan);
    if (goes_first) {
        hop = select_next_hop(core, request, plan, progress);
    }
    if (hop.target || hop.selection.no_eligible_target) {
        co_return;
    }
    const std::optional<instant> until = end_of_class_wait(core, plan);
    if (until) {
        class_waiter waiter(core, plan, *cancellation);
        plan.admission = admission_decision::wait;
        while (waiter.is_queued() && now_of(core) < *until) {
            co_await waiter.wait(*until);
            if (is_cancelled(*cancellation)) {
                co_return;
            }
            if (waiter.may_try()) {
                hop = select_next_hop(core, request, plan, progress);
            }
            if (hop.target || hop.selection.no_eligible_target) {
                co_return;
            }
        }
    }
    if (until || !goes_first) {
        hop = select_next_hop(core, request, plan, progress);
    }
}

// Adds the work that the attempt took to what is known of the request's class.
void measure_class_work(node_core& core, const request_plan& plan, const target_record& target,
                        const outgoing_request& outgoing, const attempt_result& result) {
    if (!target.is_peer && result.outcome == attempt_end::answered) {
        record_class_time(core, plan,
                          {result.target_time, result.load_at_send, static_cast<double>(target.info.slots),
                           outgoing.target_is_warm});
    }
}

// Sets the headers of the attempt and records the choice of its target.
void prepare_attempt(node_core& core, outgoing_request& outgoing, const request_plan& plan,
                     const next_hop& hop, const forward_progress& progress) {
    set_target_headers(core, outgoing, *hop.target, plan);
    outgoing.target_is_warm.reset();
    if (hop.target->is_peer) {
        set_relay_headers(core, outgoing.head, *hop.target, plan, plan.max_attempts - progress.attempts);
        return;
    }
    clear_relay_headers(outgoing.head);
    record_selection(core, plan, *hop.target);
    if (plan.affinity_hash) {
        outgoing.target_is_warm = hop.selection.reason == placement_reason::known_warm;
    }
}

// Returns whether the attempt ended before any target received the request.
bool reached_no_target(const target_record& target, const attempt_result& result) {
    return !was_sent(result.outcome) ||
           (target.is_peer && result.outcome == attempt_end::rejected && result.relayed_attempts == 0);
}

// Adds the attempt to the progress. A peer that gives no number of attempts may have used all that were left.
void record_attempt(node_core& core, const request_plan& plan, const target_ptr& target_pointer,
                    const attempt_result& result, forward_progress& progress) {
    target_record& target = *target_pointer;
    progress.tried.push_back(target_pointer);
    progress.last_outcome = result.outcome;
    progress.may_have_run_at_any = progress.may_have_run_at_any || may_have_run(result.outcome);
    if (!target.is_peer) {
        progress.attempts += was_sent(result.outcome) ? 1 : 0;
        progress.unreachable_in_a_row =
            result.outcome == attempt_end::unreachable ? progress.unreachable_in_a_row + 1 : 0;
        return;
    }
    ++progress.relays;
    if (result.outcome != attempt_end::unreachable) {
        progress.attempts = std::min(plan.max_attempts,
                                     progress.attempts + result.relayed_attempts.value_or(plan.max_attempts));
    }
    if (result.outcome == attempt_end::rejected) {
        const auto text = result.head[http::field::retry_after];
        progress.peer_retry_after = parse_retry_after({text.data(), text.size()}, max_retry_after);
        if (result.relay_refused) {
            target.health.backoff_until = now_of(core) + progress.peer_retry_after.value_or(milliseconds(0));
        }
    }
}

} // namespace

bool has_unknown_transfer_coding(const http::fields& fields) {
    const std::size_t count = fields.count(http::field::transfer_encoding);
    return count > 1 ||
           (count == 1 && !boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

bool is_hop_by_hop(const http::fields& fields, boost::beast::string_view name) {
    constexpr std::array<const char*, 8> hop_by_hop_headers{
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",    "Upgrade",          "Proxy-Authenticate"};
    const auto is_name = [name](const char* each) { return boost::beast::iequals(name, each); };
    if (std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), is_name)) {
        return true;
    }
    http::token_list listed(fields[http::field::connection]);
    return listed.exists(name);
}

asio::awaitable<forward_result> forward_request(node_core& core, caller_request& request, request_plan& plan,
                                                body_source remaining_body, cancellation_ptr cancellation,
                                                const response_sink& sink) {
    if (auto refused = refuse_beyond_share(core, plan)) {
        co_return std::move(*refused);
    }
    outgoing_request outgoing = make_outgoing(core, request, plan, std::move(remaining_body));
    forward_progress progress;
    for (;;) {
        next_hop hop;
        if (progress.tried.empty()) {
            co_await select_first_hop(core, request, plan, cancellation, hop);
        } else {
            hop = select_next_hop(core, request, plan, progress);
        }
        if (cancellation->caller_left) {
            // The caller left during the wait.
            record_admission(core, plan, plan.admission);
            co_return nothing_to_write{false};
        }
        if (!hop.target) {
            co_return progress.tried.empty() ? make_refusal(core, plan, hop.selection)
                                             : make_failure_reply(core, plan, progress);
        }
        if (progress.tried.empty()) {
            if (auto refused = consume_workspace_token(core, plan, request)) {
                co_return std::move(*refused);
            }
            record_admission(core, plan, plan.admission);
        }
        const target_ptr target = hop.target;
        prepare_attempt(core, outgoing, plan, hop, progress);
        attempt_result result = co_await run_attempt(core, target, outgoing, cancellation, sink);
        record_attempt(core, plan, target, result, progress);
        measure_class_work(core, plan, *target, outgoing, result);
        wake_waiters(core, plan.service);
        if (result.streamed) {
            co_return nothing_to_write{result.outcome == attempt_end::answered};
        }
        if (result.outcome == attempt_end::answered) {
            target_response response{std::move(result.head),
                                     std::move(result.body),
                                     target->is_peer ? result.relayed_target : target->info.id,
                                     result.load_at_send,
                                     result.expected_slowdown,
                                     result.latency,
                                     target->is_peer ? "relayed" : to_string(hop.selection.reason)};
            co_return response;
        }
        log_attempt(core, request, *target, result);
        if (!target->is_peer) {
            track_crash_suspect(core, plan.fingerprint, *target, result.outcome);
        }
        if (cancellation->caller_left) {
            co_return nothing_to_write{false};
        }
        if (cancellation->body_too_large) {
            co_return body_too_large_reply;
        }
        if (is_cancelled(*cancellation)) {
            co_return make_failure_reply(core, plan, progress);
        }
        // A request that no target has received is sent elsewhere without using the retry budget, as long as
        // few targets and peers have been tried.
        const bool unsent =
            !was_sent(result.outcome) || (!request.has_unbuffered_body && reached_no_target(*target, result));
        constexpr std::size_t max_tried_without_retry_budget = 4;
        if (!(unsent && progress.tried.size() <= max_tried_without_retry_budget) &&
            !may_retry(core, plan, request, progress)) {
            co_return make_failure_reply(core, plan, progress);
        }
    }
}

} // namespace cassiaspan
