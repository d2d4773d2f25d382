#include "peer_table.h"

namespace cassiaspan {

peer_vm* note_record(peer_table& peers, const schema::VmRecord& record, instant now) {
    const auto caller = parse_address(record.caller_address());
    const auto peer_address = parse_address(record.peer_address());
    const auto gossip = parse_address(record.gossip_address());
    if (record.name().empty() || !caller || !peer_address || !gossip) {
        return nullptr;
    }
    const auto [found, is_new] = peers.by_name.try_emplace(record.name());
    peer_vm& peer = found->second;
    if (!is_new && peer.started_ms > record.started_ms()) {
        return nullptr;
    }
    if (is_new || peer.started_ms < record.started_ms()) {
        const bool recorded = peer.recorded;
        peer = {};
        peer.recorded = recorded;
        peer.name = record.name();
        peer.started_ms = record.started_ms();
        peer.known_since = now;
    }
    peer.availability_zone = record.availability_zone();
    peer.region = record.region();
    peer.link_mbps = record.link_mbps();
    peer.caller_address = *caller;
    peer.peer_address = *peer_address;
    peer.gossip_address = *gossip;
    return &peer;
}

bool is_heard(const peer_vm& peer, instant now) {
    return peer.heard && now - *peer.heard <= max_peer_silence;
}

void expire_peers(peer_table& peers, instant now) {
    std::erase_if(peers.by_name, [now](const auto& entry) {
        const peer_vm& peer = entry.second;
        const instant last = peer.heard.value_or(peer.known_since);
        return !peer.recorded && now - last > peer_memory;
    });
}

} // namespace cassiaspan
