// The other VMs, as their records in the store and their datagrams tell.
#pragma once

#include "address.h"
#include "clock.h"
#include "gossip.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiaspan {

// A VM sends datagrams several times in this time, so that one that is silent for longer is down or cut off.
constexpr milliseconds peer_silence_timeout{1500};
// A silent VM still counts for shares of budgets until its record is gone and this time has passed.
constexpr milliseconds peer_retention{10'000};

// The latest counts of a VM that were passed on, by the lower half of the hash of workspace and service.
struct forwarded_counts {
    std::unordered_map<std::uint32_t, std::uint64_t> workspace_uses;
    std::unordered_map<std::uint32_t, std::uint64_t> service_demands;
};

struct peer_vm {
    std::string name;
    std::string availability_zone;
    std::string region;
    socket_address caller_address;
    socket_address peer_address;
    socket_address gossip_address;
    std::uint64_t started_ms = 0;
    std::uint32_t link_mbps = 0;
    // The store holds the VM's record.
    bool has_store_record = false;

    std::optional<instant> last_heard;
    instant first_seen;
    std::uint64_t sequence = 0;
    bool accepting = false;
    std::uint64_t store_revision = 0;
    // What the VM last reported, by the lower half of the hash of target and workspace.
    std::unordered_map<std::uint32_t, std::uint32_t> target_uses;
    std::unordered_map<std::uint32_t, std::uint64_t> workspace_uses;
    std::unordered_map<std::uint32_t, std::uint64_t> service_demands;
    // What of it this VM, as a hub, has passed on to the hubs of other zones and regions, and within its
    // zone.
    forwarded_counts forwarded_to_zones;
    forwarded_counts forwarded_to_regions;
    forwarded_counts forwarded_in_zone;
};

struct peer_table {
    std::map<std::string, peer_vm> by_name;
};

// Takes in a VM's record. Returns the VM, or nothing when the record is older than what is known or
// unreadable.
peer_vm* update_peer_record(peer_table& peers, const schema::VmRecord& record, instant now);

// Returns whether the VM has been heard of lately.
[[nodiscard]] bool is_alive(const peer_vm& peer, instant now);

// Drops VMs that are neither recorded nor heard of.
void expire_peers(peer_table& peers, instant now);

} // namespace cassiaspan
