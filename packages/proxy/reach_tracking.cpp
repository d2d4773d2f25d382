#include "reach_tracking.h"

#include "background_task.h"
#include "relay.h"
#include "target_connections.h"
#include "target_selection.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr milliseconds probe_interval{250};
// Services that are probed at a time while no target at all is reached.
constexpr std::size_t max_probed_services = 2;
// Targets of one service that are probed at a time after a first failure, to find out whether it is in reach.
constexpr std::size_t suspicion_probes = 2;
// Some targets that crash together can look like a cut, but others are then reached sooner than this.
constexpr milliseconds min_cut_time{1000};
// Failures up to this time before all targets counted as lost belong to the same cut.
constexpr milliseconds max_detection_time{2000};

void log_reach(node_core& core, std::string_view service, const char* state) {
    core.log.write(now_of(core), node_event::reach_changed,
                   log_fields().add("service", service).add("state", state));
}

// Clears what was recorded against the service's targets while this VM reached none of any service, if a peer
// reaches them.
void clear_failures_of_cut(node_core& core, const std::string& service) {
    const instant now = now_of(core);
    const std::uint32_t hash = get_service_stats(core, service).name_hash;
    const auto& peers = core.peers.by_name;
    if (std::none_of(peers.begin(), peers.end(), [hash, now](const auto& entry) {
            return is_alive(entry.second, now) && reaches_service(entry.second, hash);
        })) {
        return;
    }
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        target->health.failure_rate = 0;
        target->health.consecutive_connect_failures = 0;
        target->health.backoff_until = instant{};
        if (target->unreachable_since >= core.reach.lost_at - max_detection_time) {
            target->may_have_restarted = false;
        }
    }
}

// Returns whether requests are in flight and no target has sent anything for some time: connections may hang.
bool is_silent(const node_core& core) {
    constexpr milliseconds max_silence{300};
    const auto& targets = core.targets.all();
    return now_of(core) - core.reach.last_contact > max_silence &&
           std::any_of(targets.begin(), targets.end(),
                       [](const auto& entry) { return entry.second->in_flight > 0; });
}

// Opens a connection to the target and adds it to the pool.
asio::awaitable<void> probe(node_core& core, target_ptr target) {
    auto cancellation = std::make_shared<request_cancellation>();
    auto connection = co_await open_connection(core, target, cancellation);
    if (connection) {
        pool_connection(*target, std::move(connection), now_of(core));
    }
}

// Returns a random target of the service that accepts requests apart from its failures, or null.
target_ptr choose_probe_target(node_core& core, const std::string& service) {
    std::vector<target_ptr> candidates;
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        if (!target->info.draining && core.evacuated_zones.count(target->info.availability_zone) == 0) {
            candidates.push_back(target);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[core.random() % candidates.size()];
}

} // namespace

void record_target_contact(node_core& core, const target_record& target) {
    const instant now = now_of(core);
    const std::string& service = target.info.service;
    const bool was_cut = core.reach.is_lost && now - core.reach.lost_at >= min_cut_time;
    if (record_contact(core.reach, now)) {
        log_reach(core, "", "reached");
    }
    if (record_contact(get_service_stats(core, service).reach, now)) {
        log_reach(core, service, "reached");
    }
    if (was_cut) {
        for (const auto& [name, stats] : core.services) {
            clear_failures_of_cut(core, name);
        }
    }
}

void record_target_failure(node_core& core, const target_record& target) {
    const instant now = now_of(core);
    const std::string& service = target.info.service;
    const std::uint32_t hash = low_32_bits(target.id_hash);
    if (record_no_contact(core.reach, hash, core.targets.all().size(), now)) {
        log_reach(core, "", "lost");
    }
    if (record_no_contact(get_service_stats(core, service).reach, hash,
                          core.targets.find_by_service(service).size(), now)) {
        log_reach(core, service, "lost");
    }
}

asio::awaitable<void> probe_lost_targets(node_core& core) {
    for (;;) {
        // The jitter keeps the VMs of a zone from probing in step.
        std::uniform_int_distribution<int> jitter(0, static_cast<int>(probe_interval.count() / 2));
        co_await sleep_for(core.context, probe_interval + milliseconds(jitter(core.random)));
        std::vector<std::string> services;
        std::vector<std::string> suspected;
        const bool silent = is_silent(core);
        for (const auto& [name, stats] : core.services) {
            if (is_out_of_reach(core, name)) {
                services.push_back(name);
            } else if (!stats.reach.unreached.empty() || silent) {
                suspected.insert(suspected.end(), suspicion_probes, name);
            }
        }
        if (core.reach.is_lost && services.size() > max_probed_services) {
            std::shuffle(services.begin(), services.end(), core.random);
            services.resize(max_probed_services);
        }
        services.insert(services.end(), suspected.begin(), suspected.end());
        for (const std::string& service : services) {
            if (const target_ptr target = choose_probe_target(core, service)) {
                spawn_task(core, "target probe", probe(core, target));
            }
        }
    }
}

} // namespace cassiaspan
