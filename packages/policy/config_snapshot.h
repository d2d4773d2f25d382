// Immutable snapshot of a validated configuration, indexed for the lookups that each request needs.
#pragma once

#include "budget.h"
#include "clock.h"
#include "config.pb.h"
#include "findings.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cassiaspan {

// One target, with the time of its drain.
struct target_config {
    std::string name;
    // IP address and port.
    std::string address;
    std::string availability_zone;
    std::string region;
    // Wall-clock time from which the target gets no new requests; the earliest of all drains that apply to
    // it.
    std::optional<std::chrono::system_clock::time_point> drain_starts_at;
    auto operator<=>(const target_config&) const = default;
};

// One service with its targets.
struct service_config {
    std::string name;
    std::string path_prefix;
    // The service accepts requests without an API key.
    bool open = false;
    // HTTP methods whose requests must not be executed more than once. POST and PATCH by default.
    std::unordered_set<std::string> non_idempotent_methods;
    // Limit of concurrent requests at one target, over all VMs.
    std::size_t slots_per_target = 0;
    // Limit of open connections to one target. Target selection compares it with this VM's requests in
    // flight.
    std::size_t max_connections_per_target = 0;
    std::vector<target_config> targets;
};

// One workspace: its services, quota and objectives.
struct workspace_config {
    std::string name;
    // Names of the services that the workspace may use.
    std::unordered_set<std::string> services;
    // Rate and burst over all VMs.
    budget_share quota;
    // Region of the VMs that store its idempotency records.
    std::string home_region;
    // 24 hours by default.
    milliseconds idempotency_retention{};
    // Weight in the fair queue, at least 1.
    std::size_t weight = 1;
    // Service level objective: least fraction of requests that succeed, and least fraction that are answered
    // within latency_objective. All 0 if the workspace has none.
    double availability_ratio = 0;
    milliseconds latency_objective{};
    double latency_ratio = 0;
};

// The whole configuration with its lookup indices.
class config_snapshot {
public:
    // Builds the snapshot, or returns the findings if the configuration is invalid.
    static tl::expected<std::shared_ptr<const config_snapshot>, findings>
    make(const schema::Configuration& configuration);

    // Returns the workspace to which the API key (in plain text) belongs, or nullptr.
    [[nodiscard]] const workspace_config* find_workspace_by_key(std::string_view key) const;
    // Returns the service with the longest path prefix that matches `path` at a '/' or at its end, or
    // nullptr.
    [[nodiscard]] const service_config* find_service_by_path(std::string_view path) const;
    // Returns the service with that name, or nullptr.
    [[nodiscard]] const service_config* find_service(std::string_view name) const;

    [[nodiscard]] const std::vector<service_config>& services() const { return this->service_list; }
    [[nodiscard]] const std::vector<workspace_config>& workspaces() const { return this->workspace_list; }
    [[nodiscard]] const schema::Configuration& source() const { return this->configuration; }

private:
    schema::Configuration configuration;
    std::vector<service_config> service_list;
    std::vector<workspace_config> workspace_list;
    std::unordered_map<std::string, std::size_t> workspace_by_key_digest;
    std::unordered_map<std::string, std::size_t> service_by_prefix;
};

// Returns whether the drain applies to the target: by its name, availability zone or region.
[[nodiscard]] bool drain_applies_to(const schema::Drain& drain, const target_config& target);

// Returns whether requests with this HTTP method must not be executed more than once.
[[nodiscard]] bool is_non_idempotent(const service_config& service, const std::string& method);

} // namespace cassiaspan
