#include "request_plan.h"

#include "address.h"
#include "class_admission.h"
#include "stable_hash.h"

#include <algorithm>
#include <charconv>

namespace cassiaspan {

namespace {

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
// Retry-After of a VM that has no configuration yet.
constexpr milliseconds startup_retry_after{300};
// Retry-After of a request whose route is left out of the configuration. A corrected configuration takes
// effect about a second after it was written.
constexpr milliseconds left_out_retry_after{1000};
// Lower bound of the Retry-After for a workspace over its rate; otherwise it is the time to the bucket's next
// token.
constexpr milliseconds min_rate_limit_retry_after{250};

// Result of one planning step; an error ends planning with that reply.
using step_result = tl::expected<void, local_reply>;

// Returns the 429 reply for a workspace over its rate.
local_reply rate_limit_reply(const workspace_budget& budget) {
    const milliseconds wait =
        std::max(min_rate_limit_retry_after, time_to_token(budget.bucket, budget.limits));
    return {status_too_many_requests, "over_rate", wait};
}

std::string_view to_string_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

// Finds the route for the host, without its port, and the path of the request. A request whose route is left
// out of the configuration is refused: a route with a shorter prefix may have other rules.
tl::expected<const route_rule*, local_reply> find_route(const steering_config& config,
                                                        const caller_request& request) {
    const std::string_view host = host_without_port(to_string_view(request.head[http::field::host]));
    const std::string_view path = to_string_view(request.head.target());
    if (const route_rule* route = config.find_route(host, path)) {
        return route;
    }
    return tl::unexpected(config.is_left_out(host, path)
                              ? local_reply{status_unavailable, "route_left_out", left_out_retry_after}
                              : local_reply{status_not_found, "no_route", {}});
}

// Sets the workspace from the bearer key. Open routes, and configurations without workspace entries, need no
// key.
step_result authenticate(request_plan& plan, const caller_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view credentials = to_string_view(request.head[http::field::authorization]);
    if (!plan.config->rules().keys_required || plan.route->is_public) {
        return {};
    }
    if (request.relayed) {
        plan.workspace = plan.config->find_workspace_by_name(request.relayed->workspace);
        if (plan.workspace == nullptr) {
            return tl::unexpected(local_reply{status_unavailable, "relay_config", {}});
        }
        return {};
    }
    if (credentials.substr(0, scheme.size()) == scheme) {
        plan.workspace = plan.config->find_workspace(credentials.substr(scheme.size()));
    }
    if (plan.workspace == nullptr) {
        return tl::unexpected(local_reply{status_unauthorized, "unknown_key", {}});
    }
    return {};
}

// Sets the deadlines from the shorter of the caller's and the route's timeout. The priority of the workspace,
// if it has one, overrides that of the route.
void set_deadlines_and_priority(request_plan& plan, const caller_request& request) {
    const milliseconds time_limit =
        request.timeout ? std::min(*request.timeout, plan.route->timeout) : plan.route->timeout;
    plan.deadline = request.received_at + time_limit;
    plan.objective_deadline = request.received_at + std::min(time_limit, plan.route->latency_objective);
    plan.priority = plan.workspace != nullptr && plan.workspace->priority ? *plan.workspace->priority
                                                                          : plan.route->priority;
    plan.rank = make_class_priority(*plan.route, plan.workspace);
}

// Sets the fingerprint and refuses the request if it is quarantined for crashing targets.
step_result check_quarantine(const node_core& core, request_plan& plan, const caller_request& request) {
    plan.fingerprint =
        stable_hash(to_string_view(request.head.target()),
                    stable_hash(request.body, stable_hash(to_string_view(request.head.method_string()))));
    if (plan.workspace != nullptr) {
        plan.fingerprint = stable_hash(plan.workspace->name, plan.fingerprint);
    }
    if (is_quarantined(core.crash_quarantine, plan.fingerprint, now_of(core))) {
        return tl::unexpected(local_reply{status_unavailable, "quarantined", {}});
    }
    return {};
}

// Refuses the request if the workspace's bucket is empty. Takes no token; consume_workspace_token does.
step_result check_rate_limit(node_core& core, const request_plan& plan, const caller_request& request) {
    if (plan.workspace == nullptr || request.relayed) {
        return {};
    }
    workspace_budget& budget = get_workspace_budget(core, *plan.workspace);
    if (!has_token(budget.bucket, budget.limits, count_bucket_replicas(core), now_of(core))) {
        return tl::unexpected(rate_limit_reply(budget));
    }
    return {};
}

// Returns the service that the request goes to: the one that the peer which sent it has chosen, if it is of
// the route's traffic split, or the next one of the split.
std::string next_service(node_core& core, const route_rule& route, const caller_request& request) {
    const auto& split = route.split;
    const auto is_chosen_by_peer = [&request](const weighted_service& each) {
        return request.relayed && each.service == request.relayed->service;
    };
    const auto chosen = std::find_if(split.begin(), split.end(), is_chosen_by_peer);
    if (chosen != split.end()) {
        return chosen->service;
    }
    return split.size() == 1 ? split.front().service
                             : split[choose_weighted_service(core.splits[route.name], split)].service;
}

// Chooses a service of the route's traffic split, sets the affinity hash, and counts the request in the
// service's retry budget and demand. A request of a peer has been counted there.
void choose_service(node_core& core, request_plan& plan, const caller_request& request) {
    plan.service = next_service(core, *plan.route, request);
    const std::string_view key = to_string_view(request.head[core.platform.headers().affinity_key]);
    if (plan.route->affinity && !key.empty()) {
        plan.affinity_hash = stable_hash(key);
    }
    plan.max_attempts = plan.route->max_attempts;
    if (request.relayed) {
        plan.max_attempts = std::min(plan.max_attempts, request.relayed->attempts_left);
        return;
    }
    const instant now = now_of(core);
    service_stats& stats = get_service_stats(core, plan.service);
    record_request(stats.retries, core.settings.retries, now);
    record_demand(stats.demand_by_region[core.settings.region], 1, now);
    stats.first_request_time = stats.first_request_time.value_or(now);
    ++stats.request_count;
    count_class_request(core, plan);
}

} // namespace

void parse_caller_headers(const node_core& core, caller_request& request) {
    const header_names& names = core.platform.headers();
    request.id = std::string(to_string_view(request.head[names.request_id]));
    const std::string_view text = to_string_view(request.head[names.deadline_ms]);
    std::int64_t timeout = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), timeout).ec == std::errc() && timeout > 0) {
        request.timeout = milliseconds(timeout);
    }
}

tl::expected<request_plan, local_reply> plan_request(node_core& core, const caller_request& request) {
    request_plan plan;
    plan.config = core.config;
    if (!plan.config) {
        return tl::unexpected(local_reply{status_unavailable, "starting", startup_retry_after});
    }
    if (core.phase == node_phase::draining) {
        return tl::unexpected(local_reply{status_unavailable, "stopping", milliseconds(0)});
    }
    const auto route = find_route(*plan.config, request);
    if (!route) {
        return tl::unexpected(route.error());
    }
    plan.route = *route;
    const step_result checked = authenticate(plan, request)
                                    .and_then([&] { return check_quarantine(core, plan, request); })
                                    .and_then([&] { return check_rate_limit(core, plan, request); });
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    set_deadlines_and_priority(plan, request);
    choose_service(core, plan, request);
    return plan;
}

std::optional<local_reply> consume_workspace_token(node_core& core, const request_plan& plan,
                                                   const caller_request& request) {
    if (plan.workspace == nullptr || request.relayed) {
        return std::nullopt;
    }
    workspace_budget& budget = get_workspace_budget(core, *plan.workspace);
    if (!take_token(budget.bucket, budget.limits, count_bucket_replicas(core), now_of(core))) {
        return rate_limit_reply(budget);
    }
    ++budget.admitted;
    return std::nullopt;
}

} // namespace cassiaspan
