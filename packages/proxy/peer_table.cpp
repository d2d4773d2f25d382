#include "peer_table.h"

#include <utility>

namespace cassiaspan {

peer_vm* update_peer_record(peer_table& peers, const schema::VmRecord& record, instant now) {
    const auto caller_address = parse_address(record.caller_address());
    const auto peer_address = parse_address(record.peer_address());
    const auto gossip_address = parse_address(record.gossip_address());
    if (record.name().empty() || !caller_address || !peer_address || !gossip_address) {
        return nullptr;
    }
    const auto [found, is_new] = peers.by_name.try_emplace(record.name());
    peer_vm& peer = found->second;
    const incarnation_order order =
        is_new ? incarnation_order::later
               : compare_incarnation(peer.incarnations, record.incarnation(), is_presumed_alive(peer, now));
    if (order == incarnation_order::earlier) {
        return nullptr;
    }
    if (order == incarnation_order::later) {
        // The in-flight counts are kept, because the target table includes them: the next report replaces
        // them, or they are cleared while the peer is silent.
        peer_vm previous = std::exchange(peer, {});
        peer.has_store_record = previous.has_store_record;
        peer.target_uses = std::move(previous.target_uses);
        peer.zone_target_uses = std::move(previous.zone_target_uses);
        peer.remote_target_uses = std::move(previous.remote_target_uses);
        peer.sums_received_at = previous.sums_received_at;
        peer.name = record.name();
        peer.incarnations = is_new ? incarnation_history{record.incarnation(), {}}
                                   : replace_incarnation(previous.incarnations, record.incarnation());
        peer.first_seen = now;
    }
    peer.availability_zone = record.availability_zone();
    peer.region = record.region();
    peer.link_mbps = record.link_mbps();
    peer.caller_address = *caller_address;
    peer.peer_address = *peer_address;
    peer.gossip_address = *gossip_address;
    peer.relay_address = parse_address(record.relay_address()).value_or(socket_address{});
    peer.relay_key = record.relay_key();
    // VMs of earlier versions pass the record on without these.
    if (record.cpu_millicores() != 0) {
        peer.cpu_millicores = record.cpu_millicores();
    }
    peer.announces_verified_mirror = peer.announces_verified_mirror || record.announces_verified_copy();
    return &peer;
}

bool is_alive(const peer_vm& peer, instant now) {
    return peer.last_heard && now - *peer.last_heard <= peer_silence_timeout;
}

bool is_presumed_alive(const peer_vm& peer, instant now) {
    return is_alive(peer, now) || (!peer.last_heard && now - peer.first_seen < new_peer_grace);
}

void expire_peers(peer_table& peers, instant now) {
    std::erase_if(peers.by_name, [now](const auto& entry) {
        const peer_vm& peer = entry.second;
        const instant last = peer.last_heard.value_or(peer.first_seen);
        return !peer.has_store_record && now - last > peer_retention;
    });
}

} // namespace cassiaspan
