// Everything that one VM knows and believes. The modules of the request path and of the fleet work on it from
// one thread.
#pragma once

#include "asio_types.h"
#include "deadline_list.h"
#include "fleet_token_bucket.h"
#include "node_log.h"
#include "node_metrics.h"
#include "node_settings.h"
#include "peer_table.h"
#include "platform_adapter.h"
#include "quarantine.h"
#include "recent_uses.h"
#include "region_shares.h"
#include "retry_budget.h"
#include "steering_config.h"
#include "store_mirror.h"
#include "target_table.h"
#include "traffic_split.h"

#include <exception>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cassiaspan {

// One workspace's use of its contract.
struct workspace_budget {
    fleet_token_bucket bucket;
    bucket_limits limits;
    // Requests that this VM has admitted since its start.
    std::uint64_t admitted = 0;
    // Lower half of the hash of the name.
    std::uint32_t name_hash = 0;
};

// What is learned about a service as a whole.
struct service_stats {
    // Moving averages of the time of one request without waiting: of all, of those at targets that had
    // handled the object lately, and of those at others.
    milliseconds service_time{};
    milliseconds warm_time{};
    milliseconds cold_time{};
    retry_budget retries;
    // Lower half of the hash of the name.
    std::uint32_t name_hash = 0;
    // Requests for the service that this VM has read since its start, and those of all VMs by region.
    std::uint64_t request_count = 0;
    std::map<std::string, demand_meter> demand_by_region;
    std::optional<instant> first_request_time;
    // Where the objects of this region's callers are served.
    region_shares shares;
};

// Times of one run without waiting.
struct service_times {
    milliseconds warm{};
    milliseconds cold{};
};

// Returns the times that are expected of a service's runs, learned or assumed. `cold` is not below `warm`.
[[nodiscard]] service_times expected_service_times(const service_stats& learned);

// How long a crash is told to other VMs: several reports, as some are lost.
constexpr milliseconds crash_report_lifetime{3000};

// How far the VM is in its life.
enum class node_phase {
    // No configuration yet.
    starting,
    serving,
    // A planned stop has begun: no longer named to callers.
    stop_announced,
    // New work is refused; what runs is finished.
    draining
};

struct node_core {
    node_core(const clock& time_in, node_settings settings_in, const platform_adapter& platform_in,
              node_log& log_in)
        : clock_source(time_in), settings(std::move(settings_in)), platform(platform_in), log(log_in) {}

    const clock& clock_source;
    node_settings settings;
    const platform_adapter& platform;
    node_log& log;
    node_metrics metrics;
    std::mt19937_64 random{std::random_device{}()};

    node_phase phase = node_phase::starting;
    std::uint64_t started_ms = 0;

    store_mirror mirror;
    // Whether the store's last answer was a failure, since when, and when it last came back.
    bool store_is_unavailable = false;
    instant store_unavailable_since;
    instant store_recovered;

    std::shared_ptr<const steering_config> config;
    target_table targets;
    std::set<std::string> evacuated_zones;
    peer_table peers;

    std::unordered_map<std::string, workspace_budget> workspaces;
    std::unordered_map<std::string, service_stats> services;
    std::unordered_map<std::string, split_state> splits;
    recent_uses affinity_history;
    region_shift_limiter shift_limiter;
    quarantine crash_quarantine;
    // Requests that failed at a target lately, by its id: if it crashed, they are suspected.
    std::unordered_map<std::string, std::vector<std::pair<std::uint64_t, instant>>> failed_requests_by_target;
    // Crash reports to pass on: request and death.
    std::map<std::pair<std::uint64_t, std::uint64_t>, instant> crash_reports;

    deadline_list deadlines;
    // How late the event loop has lately been: requests wait for about this time before they are read.
    milliseconds loop_delay{};

    std::size_t requests_in_progress = 0;
    std::size_t open_caller_connections = 0;

    // The event loop of the VM's one thread. Ends first: what still waits in it refers to the members above.
    asio::io_context context{1};
};

// Returns the present instant.
[[nodiscard]] inline instant now_of(const node_core& core) {
    return core.clock_source.now();
}

// Takes in changes of the store that the mirror has found to be new.
void apply_store_changes(node_core& core, const std::vector<store_change>& changes);

// Returns the use record of a workspace, made at first use or when its contract changed.
[[nodiscard]] workspace_budget& get_workspace_budget(node_core& core, const workspace_rule& workspace);

// Returns what is learned about a service, made at first use.
service_stats& get_service_stats(node_core& core, const std::string& service);

// Returns how many VMs share budgets, and how many of them report.
[[nodiscard]] bucket_replicas count_bucket_replicas(const node_core& core);

// Logs what ended a part of the VM, or a connection's service, unexpectedly.
void log_exception(node_core& core, std::string_view what, const std::exception_ptr& failure);

// Returns whether the VM may take new work.
[[nodiscard]] inline bool is_accepting(const node_core& core) {
    return core.phase == node_phase::serving;
}

} // namespace cassiaspan
