// Shared state of one VM: configuration, targets, peers, token buckets and service statistics. All modules of
// the request path and of the fleet protocol access it from the single event-loop thread, so it needs no
// locks.
#pragma once

#include "asio_types.h"
#include "deadline_list.h"
#include "fleet_token_bucket.h"
#include "lookup_tiers.h"
#include "machine_memory.h"
#include "memory_use.h"
#include "mirror_lag.h"
#include "node_log.h"
#include "node_metrics.h"
#include "node_settings.h"
#include "peer_table.h"
#include "platform_adapter.h"
#include "quarantine.h"
#include "recent_uses.h"
#include "region_shares.h"
#include "request_cancellation.h"
#include "request_cost.h"
#include "retry_budget.h"
#include "service_classes.h"
#include "steering_config.h"
#include "store_mirror.h"
#include "store_reader.h"
#include "target_reach.h"
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
#include <utility>
#include <vector>

namespace cassiaspan {

// A workspace's token bucket and its request counter on this VM.
struct workspace_budget {
    // This VM's replica of the token bucket that the whole fleet shares.
    fleet_token_bucket bucket;
    // Rate and burst from the configuration, for the whole fleet.
    bucket_limits limits;
    // Number of requests that this VM has admitted since it started.
    std::uint64_t admitted = 0;
    // Lower 32 bits of the hash of the workspace name; identifies the workspace in gossip.
    std::uint32_t name_hash = 0;
};

// Statistics of one service over all its targets.
struct service_stats {
    // Moving averages of the service time, without queueing: over all requests, over those sent to a target
    // that had recently handled the same affinity key (warm), and over the others (cold). Zero until
    // measured.
    milliseconds service_time{};
    milliseconds warm_time{};
    milliseconds cold_time{};
    // Retries and requests of this VM in the last window, checked against the retry budget.
    retry_budget retries;
    // Lower 32 bits of the hash of the service name; identifies the service in gossip.
    std::uint32_t name_hash = 0;
    // Number of requests for the service that this VM has read since it started.
    std::uint64_t request_count = 0;
    // Request rate of all VMs, by region of the VM that read the request.
    std::map<std::string, demand_meter> demand_by_region;
    // When this VM read its first request for the service; empty before that.
    std::optional<instant> first_request_time;
    // Requests in flight at the usable targets of each region; moving averages.
    std::map<std::string, double> occupied_slots;
    // Regions with few of the service's targets; see find_small_regions().
    std::set<std::string> small_regions;
    // Fraction of the affinity keys of this region's callers that each region serves.
    region_shares shares;
    // Whether this VM reaches the service's targets.
    target_reach reach;
    // The classes of its requests, for admission control.
    service_classes classes;
};

// Expected service times of one request, without queueing, at a warm and at a cold target.
struct service_times {
    milliseconds warm{};
    milliseconds cold{};
};

// Returns the measured service times, or defaults for those that were not measured yet. `cold` is never less
// than `warm`.
[[nodiscard]] service_times expected_service_times(const service_stats& stats);
// The same for given moving averages: over all requests, over warm and over cold ones.
[[nodiscard]] service_times expected_service_times(milliseconds service_time, milliseconds warm_time,
                                                   milliseconds cold_time);

// The VMs that lookups for a region list.
struct lookup_list {
    lookup_choice choice;
    instant chosen_at;
    // Name and caller address of the listed VMs, at most as many as a reply may have.
    std::vector<std::pair<std::string, socket_address>> vms;
};

// How long a crash report is included in gossip. This covers several datagrams, because some are lost.
constexpr milliseconds crash_report_lifetime{3000};

// Lifecycle phase of the VM.
enum class node_phase {
    // No configuration received yet; the VM is not ready.
    starting,
    // Ready; lookups return this VM.
    serving,
    // A planned stop has started: lookups no longer return this VM, but it still handles new requests.
    stop_announced,
    // New requests are refused; requests in progress are completed.
    draining
};

// Returns how a VM with these settings divides its memory.
[[nodiscard]] inline std::optional<memory_budget> divide_machine(const node_settings& settings) {
    return divide_memory(choose_memory_limit(settings.memory_bytes, find_machine_memory()),
                         settings.max_open_files);
}

// The state of the VM. Not copyable; all modules hold references to it.
struct node_core {
    node_core(const clock& time_in, node_settings settings_in, const platform_adapter& platform_in,
              node_log& log_in)
        : clock_source(time_in), settings(std::move(settings_in)), platform(platform_in), log(log_in) {
        this->memory.budget = divide_machine(this->settings);
    }

    const clock& clock_source;
    node_settings settings;
    const platform_adapter& platform;
    node_log& log;
    node_metrics metrics;
    std::mt19937_64 random{std::random_device{}()};

    node_phase phase = node_phase::starting;
    // Start of the process, Unix time in milliseconds, or one more than the incarnation that it has replaced.
    std::uint64_t incarnation = 0;

    // Local copy of the store.
    store_mirror mirror;
    // Whether the mirror is known to lack no removal: it was read from the store, or taken from VMs whose
    // mirrors are verified. Not so after changes from a VM of an earlier version, until the whole store has
    // been read again.
    bool mirror_is_verified = true;
    // How long the mirror has lacked changes that a live peer has.
    mirror_lag lag;
    // From when on the mirror's items of earlier epochs may be removed; unset if there are none.
    std::optional<instant> lost_items_due_at;
    // From when on the outdated target entries of a restored store may take effect; unset if there are none.
    std::optional<instant> outdated_entries_due_at;
    // Up to when this VM knows the contents of the store from its own calls: the start of the last read, or
    // when the response to the last watch began.
    instant store_known_at;
    // Whether the last store call failed, and since when calls have failed.
    bool store_is_unavailable = false;
    instant store_unavailable_since;
    // When the store was last known to be unavailable: to this VM, or to its availability zone.
    instant store_last_unavailable_at;
    // Whether this VM reads the store, as its reports tell the other VMs of its availability zone.
    store_access own_store_access = store_access::not_reading;

    // Null until the first configuration is read.
    std::shared_ptr<const steering_config> config;
    // The configuration from which the classes of the services were taken last; see class_admission.h.
    std::shared_ptr<const steering_config> classes_config;
    target_table targets;
    std::set<std::string> evacuated_zones;
    peer_table peers;
    // Whether this VM reaches targets at all.
    target_reach reach;
    // Connections to peers that serve requests for this VM, by the peer's name.
    std::unordered_map<std::string, target_ptr> relays;
    // What a peer must send with a request that this VM is to serve for it.
    std::uint64_t relay_key = std::random_device{}() | std::uint64_t{std::random_device{}()} << 32U;
    // Requests in progress that this VM serves for peers.
    std::size_t relayed_requests = 0;

    // By workspace name.
    std::unordered_map<std::string, workspace_budget> workspaces;
    // By service name.
    std::unordered_map<std::string, service_stats> services;
    std::unordered_map<std::string, split_state> splits;
    // Which target recently handled which affinity key; used to predict warm targets.
    recent_uses affinity_history;
    region_shift_limiter shift_limiter;
    // Requests that are suspected of crashing targets.
    quarantine crash_quarantine;
    // Fingerprints of requests that recently failed at a target, by target id. They become suspects if the
    // target turns out to have crashed.
    std::unordered_map<std::string, std::vector<std::pair<std::uint64_t, instant>>> failed_requests_by_target;
    // Crash reports to include in gossip: (request fingerprint, target crash id) to expiry time.
    std::map<std::pair<std::uint64_t, std::uint64_t>, instant> crash_reports;

    deadline_list deadlines;
    // Recent delay of the event loop: a request waits for about this time before it is read.
    milliseconds loop_delay{};
    // Up to when this VM counts as busy, because its event loop was delayed; see is_busy().
    instant busy_until;
    // Bytes of request bodies read from callers and of responses written to them, since the start.
    std::uint64_t caller_bytes = 0;
    request_cost_meter cost_meter;
    // The VMs that lookups list, by region.
    std::map<std::string, lookup_list> lookup_lists;

    // Cancellations of the requests that are being forwarded.
    std::set<request_cancellation*> forwarded_requests;
    // Requests from their first byte until their response is written.
    std::size_t requests_in_progress = 0;
    std::size_t open_caller_connections = 0;
    // What callers make this VM hold.
    memory_use memory;

    // Event loop of the VM's only thread. Declared last, so that it is destroyed first: pending handlers
    // refer to the members above.
    asio::io_context context{1};
};

// Returns the current time of the VM's clock.
[[nodiscard]] inline instant now_of(const node_core& core) {
    return core.clock_source.now();
}

// Decodes changes that were merged into the mirror and applies them to the state. Logs changes that cannot be
// decoded or applied, also because of an exception, and skips them.
void apply_store_changes(node_core& core, const std::vector<store_change>& changes);

// Changes of the store, or all of its items, as read from the store or from the mirror of a peer.
struct store_read {
    const std::vector<store_change>& changes;
    // Position of the store up to which `changes` is complete.
    store_position position;
    // `changes` contains all items.
    bool is_snapshot = false;
    // Read from the store or from a verified mirror.
    bool is_verified = true;
};

// Merges what was read into the mirror and applies the changes that are new. When the read is the first one
// of a later epoch, items that it lacks stay in use until their writers have had the time to write them
// again. A read of an earlier epoch, which arrives after a peer's changes of a later one, is ignored.
void merge_store_read(node_core& core, const store_read& read);

// Returns up to when this VM knows the contents of the store, from its own calls or through a peer.
[[nodiscard]] instant store_known_until(const node_core& core);

// Removes the mirror's items of earlier epochs once they are due: they were not written again after the store
// was restored. Does nothing while neither this VM nor one that reports to it has read the store since then.
void remove_lost_items(node_core& core);

// Applies the outdated target entries of a restored store once they are due: it still holds them, so their
// targets have not left. Like remove_lost_items(), waits until the store has been read since then.
void apply_outdated_entries(node_core& core);

// Returns the budget of a workspace; creates it on the first call. After a change of the configured limits,
// keeps the tokens up to the new burst.
[[nodiscard]] workspace_budget& get_workspace_budget(node_core& core, const workspace_rule& workspace);

// Returns the statistics of a service; creates them on the first call.
service_stats& get_service_stats(node_core& core, const std::string& service);

// Returns how many VMs share the token buckets, this one included, and how many of them currently send
// reports.
[[nodiscard]] bucket_replicas count_bucket_replicas(const node_core& core);

// Logs an exception that ended a background task or the handling of a connection. `what` names the task.
void log_exception(node_core& core, std::string_view what, const std::exception_ptr& exception);

// Returns the position of the mirror for other VMs, which may take changes from this VM; zero while the
// mirror is not verified.
[[nodiscard]] inline store_position announced_mirror_position(const node_core& core) {
    return core.mirror_is_verified ? core.mirror.position : store_position{};
}

// Returns whether the event loop was delayed by over 50 ms within the last second.
[[nodiscard]] inline bool is_busy(const node_core& core) {
    return now_of(core) < core.busy_until;
}

// Returns whether the VM advertises itself as ready for new requests.
[[nodiscard]] inline bool is_accepting(const node_core& core) {
    return core.phase == node_phase::serving;
}

} // namespace cassiaspan
