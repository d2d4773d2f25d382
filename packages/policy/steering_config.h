// The operators' configuration as requests are decided by it: routes, services, workspaces and caller limits.
// Immutable once made; a newer version replaces it as a whole.
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
#include <unordered_set>
#include <vector>

namespace cassiaspan {

// What may be done with a request after a failure.
enum class request_kind {
    idempotent,
    non_idempotent,
    // A large body; repeated under the same terms as a non-idempotent request.
    upload
};

// One part of a traffic split. Weights are relative to the sum over the route.
struct weighted_service {
    std::string service;
    double weight = 1;
    auto operator<=>(const weighted_service&) const = default;
};

// How requests for one host and path prefix are handled.
struct route_rule {
    std::string name;
    std::string host;
    // Begins and ends with '/'.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    // Longest time that a caller is kept waiting.
    milliseconds timeout{};
    // Time within which an answer is of full use to the caller.
    milliseconds latency_objective{};
    // 0 is the most urgent.
    int priority = 0;
    // Targets that one request may be sent to, the first included.
    std::size_t max_attempts = 1;
    // Needs no key.
    bool is_public = false;
    // Targets answer faster for objects that they have handled lately.
    bool affinity = false;
    // Regions that may see the request; empty means all.
    std::vector<std::string> allowed_regions;
    std::vector<weighted_service> split;
    auto operator<=>(const route_rule&) const = default;
};

// What holds for all targets of a service.
struct service_rule {
    std::string name;
    std::string health_path;
    // Open connections to one target, over all VMs; 0 means unknown.
    std::size_t max_connections = 0;
    // How long a target is cold after its start, and the requests per second it bears meanwhile.
    milliseconds cold_start_duration{};
    double cold_requests_per_second = 0;
    auto operator<=>(const service_rule&) const = default;
};

// One workspace's contract.
struct workspace_rule {
    std::string name;
    std::vector<std::string> keys;
    // Goes before the priority of the route.
    std::optional<int> priority;
    // Sustained requests per second over all VMs; 0 means unlimited.
    double requests_per_second = 0;
    double burst_requests = 0;
    std::vector<std::string> allowed_regions;
    auto operator<=>(const workspace_rule&) const = default;
};

// What a caller may send, and how long it may take or stay idle.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 67'108'864;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
    auto operator<=>(const caller_limits&) const = default;
};

// The lists that a configuration is made from.
struct steering_rules {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::vector<workspace_rule> workspaces;
    caller_limits limits;
    auto operator<=>(const steering_rules&) const = default;
};

// A checked configuration with its look-ups.
class steering_config {
public:
    // Builds the look-ups, or returns everything that is wrong with the rules.
    static tl::expected<std::shared_ptr<const steering_config>, findings> make(steering_rules rules);

    // Returns the route of that host with the longest prefix that begins `path`, or nothing.
    [[nodiscard]] const route_rule* find_route(std::string_view host, std::string_view path) const;
    // Returns the workspace that holds the key, or nothing.
    [[nodiscard]] const workspace_rule* find_workspace(std::string_view key) const;
    // Returns the service of that name, or nothing.
    [[nodiscard]] const service_rule* find_service(const std::string& name) const;

    [[nodiscard]] const steering_rules& rules() const { return this->stored_rules; }

private:
    steering_rules stored_rules;
    // Index of the route by host, newline and prefix.
    std::unordered_map<std::string, std::size_t> route_by_prefix;
    std::unordered_map<std::string, std::size_t> workspace_by_key;
    std::unordered_map<std::string, std::size_t> service_by_name;
};

// Returns whether both lists of regions allow the region; an empty list allows all.
[[nodiscard]] bool is_region_allowed(const std::vector<std::string>& route_regions,
                                     const std::vector<std::string>& workspace_regions,
                                     std::string_view region);

} // namespace cassiaspan
