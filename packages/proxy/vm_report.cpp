#include "vm_report.h"

#include "fleet_hubs.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Replaces what a peer had in flight by what it says now.
void take_target_uses(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    const auto add = [&core](std::uint32_t hash, std::int64_t count) {
        if (const target_ptr target = core.targets.find_by_hash(hash)) {
            const auto sum = static_cast<std::int64_t>(target->peers_in_flight) + count;
            target->peers_in_flight = static_cast<std::size_t>(std::max<std::int64_t>(0, sum));
        }
    };
    for (const auto& [hash, count] : peer.target_uses) {
        add(hash, -static_cast<std::int64_t>(count));
    }
    peer.target_uses.clear();
    for (const schema::TargetUse& use : gossip.target_uses()) {
        peer.target_uses[use.target()] = use.in_flight();
        add(use.target(), use.in_flight());
    }
}

// Charges what a peer has admitted since its last report.
void take_workspace_uses(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    std::unordered_map<std::uint32_t, std::uint64_t> fresh;
    for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
        const auto before = peer.workspace_uses.find(use.workspace());
        const std::uint64_t known = before == peer.workspace_uses.end() ? 0 : before->second;
        peer.workspace_uses[use.workspace()] = std::max(known, use.admitted());
        if (use.admitted() > known) {
            fresh[use.workspace()] = use.admitted() - known;
        }
    }
    for (auto& [name, use] : core.workspaces) {
        const auto found = fresh.find(use.name_hash);
        if (found != fresh.end()) {
            record_remote_tokens(use.bucket, use.limits, static_cast<double>(found->second));
        }
    }
}

// Notes what a peer's callers have asked for since its last report.
void take_service_demands(node_core& core, peer_vm& peer, const schema::Gossip& gossip, bool is_first) {
    for (const schema::ServiceDemand& told : gossip.service_demands()) {
        std::uint64_t& known = peer.service_demands[told.service()];
        const std::uint64_t fresh = told.asked() > known && !is_first ? told.asked() - known : 0;
        known = std::max(known, told.asked());
        for (auto& [name, learned] : core.services) {
            if (fresh > 0 && learned.name_hash == told.service()) {
                record_demand(learned.demand[peer.region], static_cast<double>(fresh), now_of(core));
            }
        }
    }
}

void take_crashes(node_core& core, const schema::Gossip& gossip) {
    for (const schema::CrashReport& report : gossip.crashes()) {
        const instant now = now_of(core);
        const bool is_new = record_crash(core.crashes, report.request(), report.death(), now);
        if (is_new && hub_rank(core) && uses_hubs(core)) {
            // The others hear of it from their hubs alone.
            core.crash_reports[{report.request(), report.death()}] = now + crash_report_lifetime;
        }
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
    record.set_started_ms(core.started_ms);
    record.set_link_mbps(core.settings.link_mbps);
    return record;
}

schema::Gossip make_report(const node_core& core, std::uint64_t sequence, bool with_addresses) {
    schema::Gossip gossip;
    if (with_addresses) {
        *gossip.mutable_sender() = make_vm_record(core);
    } else {
        // The receivers know the rest from before.
        gossip.mutable_sender()->set_name(core.settings.vm);
        gossip.mutable_sender()->set_started_ms(core.started_ms);
    }
    gossip.set_sequence(sequence);
    gossip.set_accepting(is_accepting(core));
    gossip.set_store_revision(core.mirror.revision);
    for (const auto& [id, target] : core.targets.all()) {
        if (target->in_flight > 0) {
            schema::TargetUse& use = *gossip.add_target_uses();
            use.set_target(low_32_bits(target->identity));
            use.set_in_flight(static_cast<std::uint32_t>(target->in_flight));
        }
    }
    for (const auto& [name, use] : core.workspaces) {
        schema::WorkspaceUse& told = *gossip.add_workspace_uses();
        told.set_workspace(use.name_hash);
        told.set_admitted(use.admitted);
    }
    for (const auto& [name, learned] : core.services) {
        schema::ServiceDemand& told = *gossip.add_service_demands();
        told.set_service(learned.name_hash);
        told.set_asked(learned.asked);
    }
    const instant now = now_of(core);
    for (const auto& [report, until] : core.crash_reports) {
        if (now < until) {
            schema::CrashReport& told = *gossip.add_crashes();
            told.set_request(report.first);
            told.set_death(report.second);
        }
    }
    return gossip;
}

bool has_addresses(const schema::Gossip& gossip) {
    return !gossip.sender().gossip_address().empty();
}

schema::Gossip make_forwarded_report(const peer_vm& peer, forwarded_counts& before, bool with_targets,
                                     bool whole) {
    schema::Gossip forwarded;
    forwarded.mutable_sender()->set_name(peer.name);
    forwarded.mutable_sender()->set_started_ms(peer.started_ms);
    forwarded.set_sequence(peer.sequence);
    forwarded.set_accepting(peer.accepting);
    forwarded.set_store_revision(peer.store_revision);
    if (with_targets) {
        for (const auto& [target, in_flight] : peer.target_uses) {
            schema::TargetUse& use = *forwarded.add_target_uses();
            use.set_target(target);
            use.set_in_flight(in_flight);
        }
    }
    for (const auto& [workspace, admitted] : peer.workspace_uses) {
        std::uint64_t& told = before.workspace_uses[workspace];
        if (whole || told != admitted) {
            schema::WorkspaceUse& use = *forwarded.add_workspace_uses();
            use.set_workspace(workspace);
            use.set_admitted(admitted);
            told = admitted;
        }
    }
    for (const auto& [service, asked] : peer.service_demands) {
        std::uint64_t& told = before.service_demands[service];
        if (whole || told != asked) {
            schema::ServiceDemand& demand = *forwarded.add_service_demands();
            demand.set_service(service);
            demand.set_asked(asked);
            told = asked;
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
    const auto known = core.peers.by_name.find(gossip.sender().name());
    if (known != core.peers.by_name.end() && known->second.started_ms < gossip.sender().started_ms()) {
        // The former incarnation's requests have ended with it.
        take_target_uses(core, known->second, {});
    }
    peer_vm* peer = nullptr;
    if (has_addresses(gossip)) {
        peer = update_peer_record(core.peers, gossip.sender(), now);
    } else if (known != core.peers.by_name.end() &&
               known->second.started_ms == gossip.sender().started_ms()) {
        peer = &known->second;
    }
    if (peer == nullptr || gossip.sequence() <= peer->sequence) {
        return false;
    }
    if (!is_alive(*peer, now)) {
        core.log.write(now, node_event::peer_changed,
                       log_fields().add("peer", peer->name).add("state", "heard"));
    }
    const bool is_first = !peer->heard;
    peer->heard = now;
    peer->sequence = gossip.sequence();
    peer->accepting = gossip.accepting();
    peer->store_revision = std::max(peer->store_revision, gossip.store_revision());
    take_target_uses(core, *peer, gossip);
    if (is_first) {
        // What a VM admitted before it was first heard is in no bucket of a VM that has just started.
        for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
            peer->workspace_uses[use.workspace()] = use.admitted();
        }
    }
    take_workspace_uses(core, *peer, gossip);
    take_service_demands(core, *peer, gossip, is_first);
    take_crashes(core, gossip);
    ++core.metrics.gossip_received;
    return true;
}

void clear_silent_peer_loads(node_core& core) {
    const instant now = now_of(core);
    for (auto& [name, peer] : core.peers.by_name) {
        if (!peer.target_uses.empty() && !is_alive(peer, now)) {
            take_target_uses(core, peer, {});
            core.log.write(now, node_event::peer_changed,
                           log_fields().add("peer", name).add("state", "silent"));
        }
    }
}

} // namespace cassiaspan
