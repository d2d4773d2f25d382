// The operators' configuration in the form used for request decisions: routes, services, workspaces and
// caller limits. It is immutable; a newer version replaces it as a whole. Entries that cannot be used are
// left out; docs/design/configuration-compatibility.md describes what that means for requests.
#pragma once

#include "clock.h"
#include "findings.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace cassiaspan {

// Determines whether a request may be retried after a failed attempt; see is_retryable().
enum class request_kind {
    idempotent,
    non_idempotent,
    // A request with a large body; retried by the same rules as a non-idempotent request.
    upload,
    // A request with a large response; retried by the same rules as an idempotent request.
    download
};

// Where an entry of the configuration comes from, and why it cannot be used.
struct entry_source {
    // Path in the operators' document, such as resources[2]; empty if the entry does not come from one.
    std::string path;
    // Errors in the entry. With any, steering_config::make() leaves the entry out.
    findings problems;
    // Remarks about an entry that is used, for rules().left_out.
    findings remarks;
    auto operator<=>(const entry_source&) const = default;
};

// One service of a traffic split. Its share of the requests is its weight over the sum of the route's
// weights.
struct weighted_service {
    std::string service;
    double weight = 1;
    auto operator<=>(const weighted_service&) const = default;
};

// Settings of the requests for one host and path prefix.
struct route_rule {
    std::string name;
    std::string host;
    // Begins and ends with '/'.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    // Longest time until the caller receives a response.
    milliseconds timeout{};
    // Latency objective: a later response is of less value to the caller.
    milliseconds latency_objective{};
    // 0 is the highest priority.
    int priority = 0;
    // Number of attempts per request, including the first.
    std::size_t max_attempts = 1;
    // Requests need no API key.
    bool is_public = false;
    // Targets respond faster for objects that they served recently, so requests are placed by affinity key.
    bool affinity = false;
    // Regions whose targets may receive the request; empty means all.
    std::vector<std::string> allowed_regions;
    std::vector<weighted_service> split;
    entry_source source;
    auto operator<=>(const route_rule&) const = default;
};

// Settings of all targets of a service.
struct service_rule {
    std::string name;
    // HTTP path of the health check.
    std::string health_path;
    // Limit of open connections to one target, over all VMs; 0 means unknown.
    std::size_t max_connections = 0;
    // How long a target is cold after its start, and the requests per second it can serve while cold, over
    // all VMs; 0 requests per second means no limit.
    milliseconds cold_start_duration{};
    double cold_requests_per_second = 0;
    entry_source source;
    auto operator<=>(const service_rule&) const = default;
};

// Settings and limits of one workspace.
struct workspace_rule {
    std::string name;
    // API keys of the workspace.
    std::vector<std::string> keys;
    // Overrides the priority of the route.
    std::optional<int> priority;
    // Sustained requests per second over all VMs; 0 means unlimited.
    double requests_per_second = 0;
    double burst_requests = 0;
    // Regions whose targets may receive the workspace's requests; empty means all.
    std::vector<std::string> allowed_regions;
    entry_source source;
    auto operator<=>(const workspace_rule&) const = default;
};

// Limits of callers' connections: sizes of requests, time to send the headers, and idle time.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 67'108'864;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
    auto operator<=>(const caller_limits&) const = default;
};

// The decoded configuration, before it is validated and indexed.
struct steering_rules {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<workspace_rule> workspaces;
    caller_limits limits;
    // The limits could not be read: those in force remain, or the defaults if there are none.
    bool limits_left_out = false;
    // Requests need an API key, except on public routes. Always so if there is a workspace entry, even one
    // that is left out.
    bool keys_required = false;
    // One finding for each entry that is left out, and for each route of an unknown kind.
    findings left_out;
    auto operator<=>(const steering_rules&) const = default;
};

// A validated configuration with its lookup tables.
class steering_config {
public:
    // Leaves out the entries that cannot be used, records a finding for each in rules().left_out, and builds
    // the lookup tables. Of two entries of a type with the same name, prefix or API key, the first is kept.
    // An entry that is left out still reserves its name, prefix and keys: no later entry gets its requests.
    // Fails for no rules at present.
    static tl::expected<std::shared_ptr<const steering_config>, findings> make(steering_rules rules);

    // Returns the route of the host with the longest prefix of `path`, or nullptr. Host names are matched
    // without regard to case; the query string of `path` is ignored. Also nullptr if that route
    // is left out.
    [[nodiscard]] const route_rule* find_route(std::string_view host, std::string_view path) const;
    // Returns whether the route with the longest prefix of `path` is left out, so that its requests must be
    // refused.
    [[nodiscard]] bool is_left_out(std::string_view host, std::string_view path) const;
    // Returns the workspace with the API key, or nullptr.
    [[nodiscard]] const workspace_rule* find_workspace(std::string_view key) const;
    // Returns the workspace of that name, or nullptr.
    [[nodiscard]] const workspace_rule* find_workspace_by_name(std::string_view name) const;
    // Returns the service of that name, or nullptr.
    [[nodiscard]] const service_rule* find_service(const std::string& name) const;

    // Returns a copy with these limits.
    [[nodiscard]] std::shared_ptr<const steering_config> with_limits(const caller_limits& limits) const;

    // Returns the rules without the entries that are left out.
    [[nodiscard]] const steering_rules& rules() const { return this->stored_rules; }

private:
    // Returns the index of the route with the longest prefix of `path`, or nullopt if there is none.
    [[nodiscard]] std::optional<std::size_t> find_route_index(std::string_view host,
                                                              std::string_view path) const;
    void add_services(std::vector<service_rule> services);
    void add_workspaces(std::vector<workspace_rule> workspaces);
    void add_routes(std::vector<route_rule> routes);

    steering_rules stored_rules;
    // Index of each route, by lower-case host, newline and prefix; left_out_route for a route that is left
    // out.
    std::unordered_map<std::string, std::size_t> route_by_prefix;
    std::unordered_map<std::string, std::size_t> workspace_by_key;
    std::unordered_map<std::string, std::size_t> service_by_name;
};

// Returns whether both lists of regions allow the region; an empty list allows all.
[[nodiscard]] bool is_region_allowed(const std::vector<std::string>& route_regions,
                                     const std::vector<std::string>& workspace_regions,
                                     std::string_view region);

} // namespace cassiaspan
