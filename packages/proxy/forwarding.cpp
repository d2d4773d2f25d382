#include "forwarding.h"

#include "stable_hash.h"
#include "target_selection.h"

#include <algorithm>
#include <array>

namespace cassiaspan {

namespace {

// A refused caller returns when the expected queue has shrunk, within these bounds; the time is drawn from a
// range so that refused callers do not return together.
constexpr milliseconds min_retry_after{150};
constexpr milliseconds max_retry_after{2000};
// A failure is taken as a crash of the target when the target is unreachable within this time.
constexpr milliseconds crash_confirmation_time{2000};

http::request_header<> make_head(const node_core& core, const caller_request& request,
                                 const request_plan& plan) {
    const header_names& names = core.platform.headers();
    http::request_header<> head;
    head.version(11);
    head.method_string(request.head.method_string());
    head.target(request.head.target());
    const std::array<boost::beast::string_view, 3> replaced{names.deadline_ms, names.workspace,
                                                            names.target_instance};
    for (const auto& field : request.head) {
        const auto is_field = [&](boost::beast::string_view name) {
            return boost::beast::iequals(field.name_string(), name);
        };
        const bool is_key =
            field.name() == http::field::authorization && !plan.config->rules().workspaces.empty();
        const bool is_replaced = std::any_of(replaced.begin(), replaced.end(), is_field);
        if (!is_key && !is_replaced && !is_hop_by_hop(request.head, field.name_string()) &&
            field.name() != http::field::content_length && field.name() != http::field::expect) {
            head.insert(field.name_string(), field.value());
        }
    }
    if (plan.workspace != nullptr) {
        head.set(names.workspace, plan.workspace->name);
    }
    return head;
}

outgoing_request make_outgoing(const node_core& core, const caller_request& request, const request_plan& plan,
                               body_source rest) {
    outgoing_request outgoing;
    outgoing.head = make_head(core, request, plan);
    outgoing.body = request.body;
    outgoing.rest = std::move(rest);
    outgoing.id = request.id;
    outgoing.may_repeat = plan.route->kind == request_kind::idempotent;
    http::request<http::empty_body> framed(std::move(outgoing.head));
    if (!request.has_unbuffered_body) {
        const bool had_body = !request.body.empty() || request.head.count(http::field::content_length) != 0 ||
                              request.head.count(http::field::transfer_encoding) != 0;
        if (had_body) {
            framed.content_length(request.body.size());
        }
    } else if (request.body_length) {
        framed.content_length(*request.body_length);
    } else {
        framed.chunked(true);
    }
    outgoing.head = std::move(framed.base());
    return outgoing;
}

// Names the target and the time that is left. The target stops work when nobody waits any longer.
void address_to(const node_core& core, outgoing_request& outgoing, const target_record& target,
                const request_plan& plan) {
    const header_names& names = core.platform.headers();
    const auto left = std::chrono::duration_cast<milliseconds>(plan.deadline - now_of(core));
    outgoing.head.set(names.target_instance, target.info.id);
    outgoing.head.set(names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count())));
}

// What one request has tried.
struct forward_state {
    std::vector<target_ptr> tried;
    std::size_t attempts = 0;
    bool ever_may_have_run = false;
    attempt_end last = attempt_end::unreachable;
};

milliseconds draw_retry_after(node_core& core, milliseconds expected) {
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double time =
        static_cast<double>(std::max(expected, min_retry_after).count()) * spread(core.random);
    return std::min(max_retry_after, milliseconds(static_cast<std::int64_t>(time)));
}

local_reply refuse(node_core& core, const request_plan& plan, const target_selection& selection) {
    if (selection.no_eligible_target) {
        return {503, "no_target", draw_retry_after(core, min_retry_after)};
    }
    const auto objective = std::chrono::duration_cast<milliseconds>(plan.objective_deadline - now_of(core));
    return {503, "no_room", draw_retry_after(core, selection.expected_finish - objective)};
}

local_reply give_up(node_core& core, const forward_state& state) {
    const unsigned status = final_status(state.last, state.ever_may_have_run);
    local_reply answer{status, to_string(state.last), {}};
    if (status == 503) {
        answer.retry_after = draw_retry_after(core, min_retry_after);
    }
    return answer;
}

// Suspects the request when the target it failed at turns out to have crashed.
void note_failure(node_core& core, const request_plan& plan, const target_record& target, attempt_end end) {
    const instant now = now_of(core);
    auto& suspects = core.failed_requests_by_target[target.info.id];
    std::erase_if(suspects,
                  [now](const auto& suspect) { return now - suspect.second > crash_confirmation_time; });
    if (end == attempt_end::failed) {
        suspects.emplace_back(plan.fingerprint, now);
    }
    if (end != attempt_end::unreachable) {
        return;
    }
    for (const auto& [fingerprint, when] : suspects) {
        const std::uint64_t death =
            stable_hash(target.info.id, static_cast<std::uint64_t>(target.info.started_ms));
        record_crash(core.crash_quarantine, fingerprint, death, now);
        core.crash_reports[{fingerprint, death}] = now + crash_report_lifetime;
    }
    suspects.clear();
}

void log_attempt(node_core& core, const caller_request& request, const target_record& target,
                 const attempt_result& result) {
    const instant now = now_of(core);
    core.log.write(now, node_event::attempt_failed,
                   log_fields()
                       .add("request", request.id)
                       .add("target", target.info.id)
                       .add("service", target.info.service)
                       .add("end", to_string(result.end))
                       .add("status", result.head.result_int())
                       .add("detail", result.detail)
                       .add("latency_ms", result.latency.count())
                       .add("in_flight", target.in_flight)
                       .add("peers_in_flight", target.peers_in_flight)
                       .add("store_revision", core.mirror.revision));
}

bool may_go_on(node_core& core, const request_plan& plan, const caller_request& request,
               const forward_state& state) {
    return may_repeat(plan.route->kind, state.last) && state.attempts < plan.route->max_attempts &&
           !request.has_unbuffered_body &&
           try_take_retry(get_service_stats(core, plan.service).retries, core.settings.retries,
                          count_bucket_replicas(core).total, now_of(core));
}

} // namespace

bool is_hop_by_hop(const http::fields& fields, boost::beast::string_view name) {
    constexpr std::array<const char*, 8> own{
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",    "Upgrade",          "Proxy-Authenticate"};
    const auto is_name = [name](const char* each) { return boost::beast::iequals(name, each); };
    if (std::any_of(own.begin(), own.end(), is_name)) {
        return true;
    }
    http::token_list listed(fields[http::field::connection]);
    return listed.exists(name);
}

asio::awaitable<forward_result> forward_request(node_core& core, const caller_request& request,
                                                const request_plan& plan, body_source rest,
                                                cancellation_ptr control, const response_sink& sink) {
    outgoing_request outgoing = make_outgoing(core, request, plan, std::move(rest));
    forward_state state;
    for (;;) {
        const target_selection selection = select_target(core, plan, state.tried);
        if (!selection.target) {
            co_return state.attempts == 0 ? refuse(core, plan, selection) : give_up(core, state);
        }
        if (state.tried.empty()) {
            if (auto refused = consume_workspace_token(core, plan)) {
                co_return std::move(*refused);
            }
        }
        const target_ptr target = selection.target;
        address_to(core, outgoing, *target, plan);
        if (plan.affinity) {
            outgoing.target_is_warm = selection.reason == placement_reason::known_warm;
        }
        attempt_result result = co_await run_attempt(core, target, outgoing, control, sink);
        if (result.end != attempt_end::unreachable) {
            ++state.attempts;
        }
        state.tried.push_back(target);
        state.last = result.end;
        state.ever_may_have_run = state.ever_may_have_run || may_have_run(result.end);
        if (result.streamed) {
            co_return nothing_to_write{result.end == attempt_end::answered};
        }
        if (result.end == attempt_end::answered) {
            target_response answer{std::move(result.head), std::move(result.body),
                                   target->info.id,        result.load,
                                   result.latency,         to_string(selection.reason)};
            co_return answer;
        }
        log_attempt(core, request, *target, result);
        note_failure(core, plan, *target, result.end);
        if (control->caller_left) {
            co_return nothing_to_write{false};
        }
        if (is_cancelled(*control)) {
            co_return give_up(core, state);
        }
        const bool unsent = result.end == attempt_end::unreachable && !request.has_unbuffered_body;
        constexpr std::size_t max_unsent = 4;
        if (!(unsent && state.tried.size() <= max_unsent) && !may_go_on(core, plan, request, state)) {
            co_return give_up(core, state);
        }
    }
}

} // namespace cassiaspan
