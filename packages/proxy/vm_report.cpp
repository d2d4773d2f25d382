#include "vm_report.h"

#include "class_admission.h"
#include "fleet_hubs.h"

#include <algorithm>

namespace cassiaspan {

namespace {

schema::StoreAccess encode_access(store_access access) {
    switch (access) {
    case store_access::reading:
        return schema::STORE_READ;
    case store_access::unreachable:
        return schema::STORE_UNREACHABLE;
    case store_access::not_reading:
        break;
    }
    return schema::STORE_NOT_READ;
}

// Values that this version does not know count as not reading.
store_access decode_access(schema::StoreAccess access) {
    return access == schema::STORE_READ          ? store_access::reading
           : access == schema::STORE_UNREACHABLE ? store_access::unreachable
                                                 : store_access::not_reading;
}

using reported_target_uses = google::protobuf::RepeatedPtrField<schema::TargetUse>;

// Replaces in-flight counts of a peer in the target table by newly reported ones.
void replace_target_uses(node_core& core, target_use_counts& known, const reported_target_uses& reported) {
    for (const auto& [hash, count] : known) {
        core.targets.add_peers_in_flight(hash, -static_cast<std::int64_t>(count));
    }
    known.clear();
    for (const schema::TargetUse& use : reported) {
        if (known.try_emplace(use.target(), use.in_flight()).second) {
            core.targets.add_peers_in_flight(use.target(), use.in_flight());
        }
    }
}

// Clears the sums that a peer sent as a first hub.
void clear_sums(node_core& core, peer_vm& peer) {
    replace_target_uses(core, peer.zone_target_uses, {});
    replace_target_uses(core, peer.remote_target_uses, {});
}

// Applies the in-flight counts of a peer's report. Sums are taken only from where they are meant to come: a
// sum that includes VMs whose own counts are known would count them twice. A report without sums keeps the
// previous ones, because other hubs forward a first hub's reports without them.
void apply_target_uses(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    replace_target_uses(core, peer.target_uses, gossip.target_uses());
    if (gossip.zone_target_uses().empty() && gossip.remote_target_uses().empty()) {
        return;
    }
    clear_sums(core, peer);
    peer.sums_received_at = now_of(core);
    if (peer.region != core.settings.region) {
        replace_target_uses(core, peer.zone_target_uses, gossip.zone_target_uses());
    }
    if (peer.availability_zone == core.settings.availability_zone) {
        replace_target_uses(core, peer.remote_target_uses, gossip.remote_target_uses());
    }
}

// Clears all in-flight counts of a peer.
void clear_target_uses(node_core& core, peer_vm& peer) {
    replace_target_uses(core, peer.target_uses, {});
    clear_sums(core, peer);
}

void add_target_uses(reported_target_uses& uses, const target_use_counts& counts) {
    for (const auto& [hash, in_flight] : counts) {
        schema::TargetUse& use = *uses.Add();
        use.set_target(hash);
        use.set_in_flight(in_flight);
    }
}

// Returns the requests that this VM has in flight.
target_use_counts own_target_uses(const node_core& core) {
    target_use_counts counts;
    for (const auto& [id, target] : core.targets.all()) {
        if (target->in_flight > 0) {
            counts[low_32_bits(target->id_hash)] = static_cast<std::uint32_t>(target->in_flight);
        }
    }
    return counts;
}

// Takes from the token buckets what a peer has admitted since its last report. A counter without a known
// previous value only sets the baseline: the buckets do not include what it counted before.
void apply_workspace_uses(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    std::unordered_map<std::uint32_t, std::uint64_t> newly_admitted;
    for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
        const auto [known, is_new] = peer.workspace_uses.try_emplace(use.workspace(), 0);
        std::uint64_t& known_count = known->second;
        const bool has_baseline = !is_new || peer.has_all_counters;
        if (has_baseline && use.admitted() > known_count) {
            newly_admitted[use.workspace()] = use.admitted() - known_count;
        }
        known_count = std::max(known_count, use.admitted());
    }
    for (auto& [name, budget] : core.workspaces) {
        const auto found = newly_admitted.find(budget.name_hash);
        if (found != newly_admitted.end()) {
            record_remote_tokens(budget.bucket, budget.limits, static_cast<double>(found->second));
        }
    }
}

// Adds the requests that a peer has read since its last report to the region's request rates. A counter
// without a known previous value only sets the baseline.
void apply_service_demands(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    for (const schema::ServiceDemand& demand : gossip.service_demands()) {
        const auto [known, is_new] = peer.service_demands.try_emplace(demand.service(), 0);
        std::uint64_t& known_count = known->second;
        const bool has_baseline = !is_new || peer.has_all_counters;
        const std::uint64_t new_requests =
            has_baseline && demand.asked() > known_count ? demand.asked() - known_count : 0;
        known_count = std::max(known_count, demand.asked());
        apply_class_demands(core, peer, demand);
        for (auto& [name, stats] : core.services) {
            if (new_requests > 0 && stats.name_hash == demand.service()) {
                record_demand(stats.demand_by_region[peer.region], static_cast<double>(new_requests),
                              now_of(core));
            }
        }
    }
}

// Returns the peer that sent the report. Returns null if the report is of an earlier incarnation, or lacks
// the addresses of an unknown sender.
peer_vm* find_sender(node_core& core, const schema::Gossip& gossip) {
    const schema::VmRecord& sender = gossip.sender();
    const auto found = core.peers.by_name.find(sender.name());
    if (found == core.peers.by_name.end()) {
        return has_addresses(gossip) ? update_peer_record(core.peers, sender, now_of(core)) : nullptr;
    }
    peer_vm& known = found->second;
    const std::uint64_t known_incarnation = known.incarnations.current;
    if (!has_addresses(gossip) && sender.incarnation() == known_incarnation) {
        return &known;
    }
    schema::VmRecord record = sender;
    if (!has_addresses(gossip)) {
        // A VM that restarts keeps its addresses. Hubs forward reports without them.
        record = make_peer_record(known);
        record.set_incarnation(sender.incarnation());
        // What another incarnation has changed follows with its addresses.
        record.clear_relay_address();
        record.clear_relay_key();
        record.clear_announces_verified_copy();
    }
    peer_vm* peer = update_peer_record(core.peers, record, now_of(core));
    if (peer != nullptr && peer->incarnations.current != known_incarnation) {
        // The requests in flight of the previous incarnation ended when it stopped.
        clear_target_uses(core, *peer);
    }
    return peer;
}

// Passes a peer's crash reports to the quarantine.
void apply_crash_reports(node_core& core, const schema::Gossip& gossip) {
    for (const schema::CrashReport& report : gossip.crashes()) {
        const instant now = now_of(core);
        const bool is_new = record_crash(core.crash_quarantine, report.request(), report.death(), now);
        if (is_new && hub_rank(core) && uses_hubs(core)) {
            // The other VMs receive it only from their hubs.
            core.crash_reports[{report.request(), report.death()}] = now + crash_report_lifetime;
        }
    }
}

// Notes that the store is unavailable to this VM's availability zone if the peer, which is in the zone,
// cannot reach it and no VM of the zone reads it. The zone's other VMs do not call the store themselves.
void apply_store_access(node_core& core, const peer_vm& peer) {
    const instant now = now_of(core);
    const auto reads_for_zone = [&core, now](const auto& entry) {
        const peer_vm& other = entry.second;
        return other.availability_zone == core.settings.availability_zone &&
               other.access == store_access::reading && is_alive(other, now);
    };
    if (peer.access == store_access::unreachable &&
        peer.availability_zone == core.settings.availability_zone &&
        core.own_store_access != store_access::reading &&
        std::none_of(core.peers.by_name.begin(), core.peers.by_name.end(), reads_for_zone)) {
        core.store_last_unavailable_at = now;
    }
}

} // namespace

schema::VmRecord make_vm_record(const node_core& core) {
    schema::VmRecord record;
    record.set_name(core.settings.vm);
    record.set_availability_zone(core.settings.availability_zone);
    record.set_region(core.settings.region);
    record.set_caller_address(format_address(core.settings.caller_address));
    record.set_peer_address(format_address(core.settings.peer_address));
    record.set_gossip_address(format_address(core.settings.gossip_address));
    record.set_incarnation(core.incarnation);
    record.set_link_mbps(core.settings.link_mbps);
    record.set_cpu_millicores(core.settings.cpu_millicores);
    record.set_announces_verified_copy(true);
    if (core.settings.relay_address.port != 0) {
        record.set_relay_address(format_address(core.settings.relay_address));
        record.set_relay_key(core.relay_key);
    }
    return record;
}

schema::VmRecord make_peer_record(const peer_vm& peer) {
    schema::VmRecord record;
    record.set_name(peer.name);
    record.set_availability_zone(peer.availability_zone);
    record.set_region(peer.region);
    record.set_caller_address(format_address(peer.caller_address));
    record.set_peer_address(format_address(peer.peer_address));
    record.set_gossip_address(format_address(peer.gossip_address));
    record.set_incarnation(peer.incarnations.current);
    record.set_link_mbps(peer.link_mbps);
    record.set_cpu_millicores(peer.cpu_millicores);
    record.set_announces_verified_copy(peer.announces_verified_mirror);
    if (peer.relay_address.port != 0) {
        record.set_relay_address(format_address(peer.relay_address));
        record.set_relay_key(peer.relay_key);
    }
    return record;
}

schema::Gossip make_report(const node_core& core, std::uint64_t sequence, bool with_addresses) {
    schema::Gossip gossip;
    if (with_addresses) {
        *gossip.mutable_sender() = make_vm_record(core);
    } else {
        // The receivers know the rest of the record from earlier reports.
        gossip.mutable_sender()->set_name(core.settings.vm);
        gossip.mutable_sender()->set_incarnation(core.incarnation);
    }
    gossip.set_sequence(sequence);
    gossip.set_accepting(is_accepting(core));
    gossip.set_busy(is_busy(core));
    const store_position announced = announced_mirror_position(core);
    gossip.set_store_epoch(announced.epoch);
    gossip.set_store_revision(announced.revision);
    gossip.set_store_access(encode_access(core.own_store_access));
    add_target_uses(*gossip.mutable_target_uses(), own_target_uses(core));
    for (const auto& [name, budget] : core.workspaces) {
        schema::WorkspaceUse& entry = *gossip.add_workspace_uses();
        entry.set_workspace(budget.name_hash);
        entry.set_admitted(budget.admitted);
    }
    for (const auto& [name, stats] : core.services) {
        schema::ServiceDemand& entry = *gossip.add_service_demands();
        entry.set_service(stats.name_hash);
        entry.set_asked(stats.request_count);
        add_class_demands(stats.classes, entry);
    }
    gossip.set_has_all_counters(true);
    gossip.set_targets_unreachable(core.reach.is_lost);
    for (const auto& [name, stats] : core.services) {
        if (stats.reach.is_lost && !core.reach.is_lost) {
            gossip.add_unreachable_services(stats.name_hash);
        }
    }
    const instant now = now_of(core);
    for (const auto& [report, until] : core.crash_reports) {
        if (now < until) {
            schema::CrashReport& entry = *gossip.add_crashes();
            entry.set_request(report.first);
            entry.set_death(report.second);
        }
    }
    return gossip;
}

void add_zone_target_uses(const node_core& core, schema::Gossip& report) {
    const instant now = now_of(core);
    target_use_counts sums = own_target_uses(core);
    for (const auto& [name, peer] : core.peers.by_name) {
        if (peer.availability_zone == core.settings.availability_zone && is_alive(peer, now)) {
            for (const auto& [target, in_flight] : peer.target_uses) {
                sums[target] += in_flight;
            }
        }
    }
    add_target_uses(*report.mutable_zone_target_uses(), sums);
}

void add_remote_target_uses(const node_core& core, schema::Gossip& report) {
    target_use_counts sums;
    for (const auto& [name, peer] : core.peers.by_name) {
        for (const auto& [target, in_flight] : peer.zone_target_uses) {
            sums[target] += in_flight;
        }
    }
    add_target_uses(*report.mutable_remote_target_uses(), sums);
}

bool has_addresses(const schema::Gossip& report) {
    return !report.sender().gossip_address().empty();
}

schema::Gossip make_forwarded_report(const peer_vm& peer, forwarded_counts& last_forwarded,
                                     bool with_target_uses, bool send_all_counts) {
    schema::Gossip forwarded;
    forwarded.mutable_sender()->set_name(peer.name);
    forwarded.mutable_sender()->set_incarnation(peer.incarnations.current);
    forwarded.set_sequence(peer.sequence);
    forwarded.set_accepting(peer.accepting);
    forwarded.set_busy(peer.busy);
    forwarded.set_store_epoch(peer.mirror_position.epoch);
    forwarded.set_store_revision(peer.mirror_position.revision);
    forwarded.set_store_access(encode_access(peer.access));
    if (with_target_uses) {
        add_target_uses(*forwarded.mutable_target_uses(), peer.target_uses);
    }
    forwarded.set_has_all_counters(send_all_counts && peer.has_all_counters);
    forwarded.set_targets_unreachable(peer.targets_unreachable);
    forwarded.mutable_unreachable_services()->Add(peer.unreachable_services.begin(),
                                                  peer.unreachable_services.end());
    for (const auto& [workspace, admitted] : peer.workspace_uses) {
        std::uint64_t& forwarded_count = last_forwarded.workspace_uses[workspace];
        if (send_all_counts || forwarded_count != admitted) {
            schema::WorkspaceUse& use = *forwarded.add_workspace_uses();
            use.set_workspace(workspace);
            use.set_admitted(admitted);
            forwarded_count = admitted;
        }
    }
    for (const auto& [service, asked] : peer.service_demands) {
        std::uint64_t& forwarded_count = last_forwarded.service_demands[service];
        schema::ServiceDemand demand;
        forward_class_demands(peer, service, last_forwarded, send_all_counts, demand);
        if (send_all_counts || forwarded_count != asked || !demand.classes().empty()) {
            demand.set_service(service);
            demand.set_asked(asked);
            forwarded_count = asked;
            *forwarded.add_service_demands() = std::move(demand);
        }
    }
    return forwarded;
}

bool process_datagram(node_core& core, const std::string& datagram) {
    schema::Gossip gossip;
    return gossip.ParseFromString(datagram) && apply_report(core, gossip);
}

bool apply_report(node_core& core, const schema::Gossip& gossip) {
    if (gossip.sender().name() == core.settings.vm) {
        return false;
    }
    const instant now = now_of(core);
    for (const schema::Gossip& forwarded : gossip.forwarded()) {
        apply_report(core, forwarded);
    }
    for (const schema::VmRecord& other : gossip.others()) {
        if (other.name() != core.settings.vm) {
            update_peer_record(core.peers, other, now);
        }
    }
    peer_vm* peer = find_sender(core, gossip);
    if (peer == nullptr || gossip.sequence() <= peer->sequence) {
        return false;
    }
    if (!is_alive(*peer, now)) {
        core.log.write(now, node_event::peer_changed,
                       log_fields().add("peer", peer->name).add("state", "heard"));
    }
    peer->last_heard = now;
    peer->sequence = gossip.sequence();
    peer->accepting = gossip.accepting();
    peer->busy = gossip.busy();
    peer->mirror_position =
        std::max(peer->mirror_position, store_position{gossip.store_epoch(), gossip.store_revision()});
    peer->access = decode_access(gossip.store_access());
    peer->targets_unreachable = gossip.targets_unreachable();
    peer->unreachable_services.assign(gossip.unreachable_services().begin(),
                                      gossip.unreachable_services().end());
    apply_store_access(core, *peer);
    apply_target_uses(core, *peer, gossip);
    apply_workspace_uses(core, *peer, gossip);
    apply_service_demands(core, *peer, gossip);
    peer->has_all_counters = peer->has_all_counters || gossip.has_all_counters();
    apply_crash_reports(core, gossip);
    ++core.metrics.gossip_received;
    return true;
}

void clear_silent_peer_loads(node_core& core) {
    const instant now = now_of(core);
    for (auto& [name, peer] : core.peers.by_name) {
        const bool has_sums = !peer.zone_target_uses.empty() || !peer.remote_target_uses.empty();
        const bool has_uses = has_sums || !peer.target_uses.empty();
        if (has_uses && !is_alive(peer, now)) {
            clear_target_uses(core, peer);
            core.log.write(now, node_event::peer_changed,
                           log_fields().add("peer", name).add("state", "silent"));
        } else if (has_sums && now - peer.sums_received_at > peer_silence_timeout) {
            // The peer is not the first hub any more.
            clear_sums(core, peer);
        }
    }
}

} // namespace cassiaspan
