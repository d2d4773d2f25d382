// A checked configuration in the form that requests are decided by. It never changes once made.
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

// One target, with what the configuration says about its leaving.
struct target_config {
    std::string name;
    std::string address;
    std::string availability_zone;
    std::string region;
    // Wall-clock time from which the target gets no new work.
    std::optional<std::chrono::system_clock::time_point> drain_starts_at;
    auto operator<=>(const target_config&) const = default;
};

// One service with its targets.
struct service_config {
    std::string name;
    std::string path_prefix;
    bool open = false;
    std::unordered_set<std::string> non_idempotent_methods;
    std::size_t slots_per_target = 0;
    std::size_t max_connections_per_target = 0;
    std::vector<target_config> targets;
};

// One workspace's contract.
struct workspace_config {
    std::string name;
    std::unordered_set<std::string> services;
    budget_share quota;
    std::string home_region;
    milliseconds idempotency_retention{};
    std::size_t weight = 1;
    double availability_ratio = 0;
    milliseconds latency_objective{};
    double latency_ratio = 0;
};

// The whole configuration with its look-ups.
class config_snapshot {
public:
    // Builds the view, or returns what is wrong with the configuration.
    static tl::expected<std::shared_ptr<const config_snapshot>, findings>
    make(const schema::Configuration& configuration);

    // Returns the workspace whose key this is, or nothing.
    [[nodiscard]] const workspace_config* find_workspace_by_key(std::string_view key) const;
    // Returns the service with the longest prefix of `path`, or nothing.
    [[nodiscard]] const service_config* find_service_by_path(std::string_view path) const;
    // Returns the service of that name, or nothing.
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

// Returns whether the drain concerns the target: by name, by availability zone or by region.
[[nodiscard]] bool drain_applies_to(const schema::Drain& drain, const target_config& target);

// Returns whether the request may run at most once.
[[nodiscard]] bool is_non_idempotent(const service_config& service, const std::string& method);

} // namespace cassiaspan
