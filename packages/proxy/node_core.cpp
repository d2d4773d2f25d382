#include "node_core.h"

#include "stable_hash.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// After a store outage or a restore, a removed target entry may only mean that its lease expired during the
// outage, or since the copy. The target is kept for this time: live targets write their entry again within
// about two seconds.
constexpr milliseconds lapsed_entry_hold_time{1700};
// Removals within this time after the store was last known to be unavailable are treated as caused by the
// outage.
constexpr milliseconds store_recovery_window{1000};
// After the store was restored from an older copy, the items that it lacks are kept for this time: operators
// and targets write them again within about two seconds.
constexpr milliseconds rewrite_time{2500};
// Number of heartbeats of the targets for which the outdated entries of a restored store are set aside. If
// their targets have left, they expire after three; targets that are alive have written their state again.
constexpr int outdated_entry_heartbeats = 4;
// Assumed ratio of the cold to the warm service time until a cold request has been measured.
constexpr int default_cold_factor = 3;
// Number of removals kept in the mirror, so that a stale source cannot restore a removed entry.
constexpr std::size_t max_kept_removals = 4096;

// Logs the problems found in a store entry.
void log_findings(node_core& core, const store_change& change, const findings& found) {
    for (const finding& problem : found) {
        core.log.write(now_of(core), node_event::entry_rejected,
                       log_fields()
                           .add("key", change.key)
                           .add("revision", change.item.position.revision)
                           .add("place", problem.path)
                           .add("why", problem.text));
    }
}

// Applies one decoded change; the overload depends on its type.
struct change_applier {
    node_core& core;
    const store_change& change;

    void operator()(const ignored_change& /*decoded*/) const {}

    void operator()(const target_entry_change& decoded) const {
        const instant now = now_of(this->core);
        log_findings(this->core, this->change, decoded.problems);
        if (!decoded.info) {
            const bool may_have_lapsed = this->core.store_is_unavailable ||
                                         now - this->core.store_last_unavailable_at < store_recovery_window ||
                                         now < this->core.lost_items_due_at.value_or(now);
            this->core.targets.schedule_removal(decoded.id,
                                                may_have_lapsed ? now + lapsed_entry_hold_time : now,
                                                this->change.item.position.epoch);
            this->core.log.write(now, node_event::target_changed,
                                 log_fields()
                                     .add("target", decoded.id)
                                     .add("state", "removed")
                                     .add("held_ms", may_have_lapsed ? lapsed_entry_hold_time.count() : 0)
                                     .add("revision", this->change.item.position.revision));
            return;
        }
        const entry_effect effect =
            this->core.targets.upsert(*decoded.info, now, this->change.item.position.epoch);
        if (effect != entry_effect::none) {
            const char* state = effect == entry_effect::set_aside ? "outdated"
                                : decoded.info->draining          ? "draining"
                                                                  : "ready";
            this->core.log.write(now, node_event::target_changed,
                                 log_fields()
                                     .add("target", decoded.id)
                                     .add("service", decoded.info->service)
                                     .add("state", state)
                                     .add("zone", decoded.info->availability_zone)
                                     .add("cold_ms", decoded.info->cold_remaining.count())
                                     .add("revision", this->change.item.position.revision));
        }
    }

    void operator()(const config_change& decoded) const {
        const auto& current = this->core.config;
        const auto config = decoded.config->rules().limits_left_out && current
                                ? decoded.config->with_limits(current->rules().limits)
                                : decoded.config;
        const steering_rules& rules = config->rules();
        // After a restore, the operators may write another configuration under a version that was lost.
        if (current && (current->rules().version > rules.version || current->rules() == rules)) {
            return;
        }
        this->core.config = config;
        this->core.metrics.config_entries_left_out = rules.left_out.size();
        if (this->core.phase == node_phase::starting) {
            this->core.phase = node_phase::serving;
        }
        log_findings(this->core, this->change, rules.left_out);
        this->core.log.write(now_of(this->core), node_event::config_applied,
                             log_fields()
                                 .add("version", rules.version)
                                 .add("routes", rules.routes.size())
                                 .add("workspaces", rules.workspaces.size())
                                 .add("left_out", rules.left_out.size())
                                 .add("header_timeout_ms", rules.limits.header_timeout.count())
                                 .add("idle_timeout_ms", rules.limits.idle_timeout.count())
                                 .add("revision", this->change.item.position.revision));
    }

    void operator()(const evacuation_change& decoded) const {
        if (decoded.evacuated) {
            this->core.evacuated_zones.insert(decoded.availability_zone);
        } else {
            this->core.evacuated_zones.erase(decoded.availability_zone);
        }
        this->core.log.write(now_of(this->core), node_event::evacuation_changed,
                             log_fields()
                                 .add("zone", decoded.availability_zone)
                                 .add("evacuated", decoded.evacuated)
                                 .add("revision", this->change.item.position.revision));
    }

    void operator()(const vm_record_change& decoded) const {
        const instant now = now_of(this->core);
        if (decoded.removed) {
            const auto found = this->core.peers.by_name.find(decoded.vm);
            if (found != this->core.peers.by_name.end()) {
                found->second.has_store_record = false;
            }
            return;
        }
        schema::VmRecord record;
        if (!record.ParseFromString(decoded.record)) {
            this->core.log.write(now, node_event::entry_rejected,
                                 log_fields().add("key", this->change.key).add("why", "not a VM record"));
            return;
        }
        if (decoded.vm == this->core.settings.vm) {
            // After the stop is announced, the other incarnation may be the next one.
            if (this->core.phase == node_phase::starting || this->core.phase == node_phase::serving) {
                this->core.incarnation = supersede_incarnation(this->core.incarnation, record.incarnation());
            }
            return;
        }
        if (peer_vm* peer = update_peer_record(this->core.peers, record, now)) {
            peer->has_store_record = true;
            this->core.log.write(now, node_event::peer_changed,
                                 log_fields().add("peer", peer->name).add("state", "recorded"));
        }
    }
};

// Returns up to when the peer shows that this VM knows the contents of the store: its last report, if it
// reads the store in the epoch of this VM and has read nothing that this VM lacks.
instant store_known_through(const peer_vm& peer, const node_core& core) {
    const bool has_same_contents = peer.access == store_access::reading &&
                                   peer.mirror_position.epoch == core.mirror.position.epoch &&
                                   peer.mirror_position <= core.mirror.position;
    return has_same_contents ? peer.last_heard.value_or(instant{}) : instant{};
}

void apply_store_change(node_core& core, const store_change& change) {
    const auto decoded = core.platform.decode(change);
    if (!decoded) {
        log_findings(core, change, decoded.error());
        return;
    }
    std::visit(change_applier{core, change}, *decoded);
}

} // namespace

instant store_known_until(const node_core& core) {
    instant known_until = core.store_known_at;
    for (const auto& [name, peer] : core.peers.by_name) {
        known_until = std::max(known_until, store_known_through(peer, core));
    }
    return known_until;
}

void merge_store_read(node_core& core, const store_read& read) {
    const store_position previous = core.mirror.position;
    if (read.position.epoch < previous.epoch) {
        return;
    }
    std::vector<store_change> new_changes;
    if (read.is_snapshot) {
        new_changes = merge_snapshot(core.mirror, read.changes, read.position);
    } else {
        new_changes = merge_changes(core.mirror, read.changes);
        core.mirror.position = std::max(core.mirror.position, read.position);
    }
    core.mirror_is_verified = read.is_verified && (core.mirror_is_verified || read.is_snapshot);
    const instant now = now_of(core);
    const bool is_later_epoch = core.mirror.position.epoch > previous.epoch;
    if (is_later_epoch) {
        // Also at the first read: a peer's mirror may still contain items of earlier epochs.
        core.lost_items_due_at = now + rewrite_time;
        core.outdated_entries_due_at = now + outdated_entry_heartbeats * core.settings.target_heartbeat;
    }
    if (is_later_epoch && previous.revision != 0) {
        ++core.metrics.store_restores;
        core.log.write(now, node_event::store_restored,
                       log_fields()
                           .add("previous_epoch", previous.epoch)
                           .add("previous_revision", previous.revision)
                           .add("epoch", core.mirror.position.epoch)
                           .add("revision", core.mirror.position.revision)
                           .add("changes", new_changes.size()));
    }
    apply_store_changes(core, new_changes);
    if (!new_changes.empty()) {
        prune_tombstones(core.mirror, max_kept_removals);
    }
}

void remove_lost_items(node_core& core) {
    if (core.lost_items_due_at && *core.lost_items_due_at <= store_known_until(core)) {
        core.lost_items_due_at.reset();
        apply_store_changes(core, remove_items_of_earlier_epochs(core.mirror));
    }
}

void apply_outdated_entries(node_core& core) {
    if (core.outdated_entries_due_at && *core.outdated_entries_due_at <= store_known_until(core)) {
        core.outdated_entries_due_at.reset();
        core.targets.apply_outdated_entries(now_of(core));
    }
}

void apply_store_changes(node_core& core, const std::vector<store_change>& changes) {
    for (const store_change& change : changes) {
        try {
            apply_store_change(core, change);
        } catch (...) {
            // The mirror contains the changes after this one already, so that they are not read again.
            log_exception(core, "store change", std::current_exception());
        }
    }
}

workspace_budget& get_workspace_budget(node_core& core, const workspace_rule& workspace) {
    const bucket_limits limits{workspace.requests_per_second, workspace.burst_requests};
    const auto [found, is_new] = core.workspaces.try_emplace(workspace.name);
    workspace_budget& budget = found->second;
    if (is_new) {
        budget.name_hash = low_32_bits(stable_hash(workspace.name));
        budget.bucket = make_fleet_token_bucket(limits, now_of(core));
        budget.limits = limits;
    } else if (budget.limits != limits) {
        budget.limits = limits;
        budget.bucket.tokens = std::min(budget.bucket.tokens, limits.burst);
    }
    return budget;
}

service_times expected_service_times(const service_stats& stats) {
    return expected_service_times(stats.service_time, stats.warm_time, stats.cold_time);
}

service_times expected_service_times(milliseconds service_time, milliseconds warm_time,
                                     milliseconds cold_time) {
    const milliseconds typical = service_time == milliseconds(0) ? default_service_time : service_time;
    const milliseconds warm = warm_time == milliseconds(0) ? typical : warm_time;
    const milliseconds cold = cold_time == milliseconds(0) ? warm * default_cold_factor : cold_time;
    return {warm, std::max(warm, cold)};
}

service_stats& get_service_stats(node_core& core, const std::string& service) {
    const auto [found, is_new] = core.services.try_emplace(service);
    if (is_new) {
        found->second.name_hash = low_32_bits(stable_hash(service));
    }
    return found->second;
}

bucket_replicas count_bucket_replicas(const node_core& core) {
    const instant now = now_of(core);
    const auto reporting = std::count_if(core.peers.by_name.begin(), core.peers.by_name.end(),
                                         [now](const auto& entry) { return is_alive(entry.second, now); });
    return {core.peers.by_name.size() + 1, static_cast<std::size_t>(reporting) + 1};
}

void log_exception(node_core& core, std::string_view what, const std::exception_ptr& exception) {
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception& error) {
        core.log.write(now_of(core), node_event::internal_error,
                       log_fields().add("what", what).add("why", error.what()));
    } catch (...) {
        core.log.write(now_of(core), node_event::internal_error,
                       log_fields().add("what", what).add("why", "unknown exception"));
    }
}

} // namespace cassiaspan
