#include "request_plan.h"

#include "stable_hash.h"

#include <algorithm>
#include <charconv>

namespace cassiaspan {

namespace {

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
// When a caller may ask a VM again that has no configuration yet.
constexpr milliseconds starting_retry_after{300};
// A refused request of a workspace over its rate comes back after the bucket's next token, at the earliest
// after this time.
constexpr milliseconds min_quota_retry_after{250};

using plan_pass = tl::expected<void, local_reply>;

local_reply over_rate(const workspace_budget& use) {
    const milliseconds wait = std::max(min_quota_retry_after, time_to_token(use.bucket, use.limits));
    return {status_too_many_requests, "over_rate", wait};
}

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

const route_rule* find_route(const steering_config& config, const caller_request& request) {
    std::string_view host = view(request.head[http::field::host]);
    host = host.substr(0, host.rfind(':'));
    return config.find_route(host, view(request.head.target()));
}

plan_pass authenticate(request_plan& plan, const caller_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view credentials = view(request.head[http::field::authorization]);
    if (plan.config->rules().workspaces.empty() || plan.route->is_public) {
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

void set_times(request_plan& plan, const caller_request& request) {
    const milliseconds longest =
        request.timeout ? std::min(*request.timeout, plan.route->timeout) : plan.route->timeout;
    plan.deadline = request.received_at + longest;
    plan.objective_deadline = request.received_at + std::min(longest, plan.route->latency_objective);
    plan.priority = plan.workspace != nullptr && plan.workspace->priority ? *plan.workspace->priority
                                                                          : plan.route->priority;
}

plan_pass check_quarantine(const node_core& core, request_plan& plan, const caller_request& request) {
    plan.fingerprint =
        stable_hash(view(request.head.target()),
                    stable_hash(request.body, stable_hash(view(request.head.method_string()))));
    if (plan.workspace != nullptr) {
        plan.fingerprint = stable_hash(plan.workspace->name, plan.fingerprint);
    }
    if (is_quarantined(core.crash_quarantine, plan.fingerprint, now_of(core))) {
        return tl::unexpected(local_reply{status_unavailable, "quarantined", {}});
    }
    return {};
}

plan_pass check_rate(node_core& core, const request_plan& plan) {
    if (plan.workspace == nullptr) {
        return {};
    }
    workspace_budget& use = get_workspace_budget(core, *plan.workspace);
    if (!has_token(use.bucket, use.limits, count_bucket_replicas(core), now_of(core))) {
        return tl::unexpected(over_rate(use));
    }
    return {};
}

void choose_service(node_core& core, request_plan& plan, const caller_request& request) {
    const auto& parts = plan.route->split;
    plan.service = parts.size() == 1
                       ? parts.front().service
                       : parts[choose_weighted_service(core.splits[plan.route->name], parts)].service;
    const std::string_view key = view(request.head[core.platform.headers().affinity_key]);
    if (plan.route->affinity && !key.empty()) {
        plan.affinity = stable_hash(key);
    }
    const instant now = now_of(core);
    service_stats& learned = get_service_stats(core, plan.service);
    record_request(learned.retries, core.settings.retries, now);
    record_demand(learned.demand_by_region[core.settings.region], 1, now);
    learned.first_request_time = learned.first_request_time.value_or(now);
    ++learned.request_count;
}

} // namespace

void parse_caller_headers(const node_core& core, caller_request& request) {
    const header_names& names = core.platform.headers();
    request.id = std::string(view(request.head[names.request_id]));
    const std::string_view text = view(request.head[names.deadline_ms]);
    std::int64_t timeout = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), timeout).ec == std::errc() && timeout > 0) {
        request.timeout = milliseconds(timeout);
    }
}

tl::expected<request_plan, local_reply> plan_request(node_core& core, const caller_request& request) {
    request_plan plan;
    plan.config = core.config;
    if (!plan.config) {
        return tl::unexpected(local_reply{status_unavailable, "starting", starting_retry_after});
    }
    if (core.phase == node_phase::draining) {
        return tl::unexpected(local_reply{status_unavailable, "stopping", milliseconds(0)});
    }
    plan.route = find_route(*plan.config, request);
    if (plan.route == nullptr) {
        return tl::unexpected(local_reply{status_not_found, "no_route", {}});
    }
    const plan_pass decided = authenticate(plan, request)
                                  .and_then([&] { return check_quarantine(core, plan, request); })
                                  .and_then([&] { return check_rate(core, plan); });
    if (!decided) {
        return tl::unexpected(decided.error());
    }
    set_times(plan, request);
    choose_service(core, plan, request);
    return plan;
}

std::optional<local_reply> consume_workspace_token(node_core& core, const request_plan& plan) {
    if (plan.workspace == nullptr) {
        return std::nullopt;
    }
    workspace_budget& use = get_workspace_budget(core, *plan.workspace);
    if (!take_token(use.bucket, use.limits, count_bucket_replicas(core), now_of(core))) {
        return over_rate(use);
    }
    ++use.admitted;
    return std::nullopt;
}

} // namespace cassiaspan
