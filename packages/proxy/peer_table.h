// Table of the other VMs, from their records in the store and from their gossip.
#pragma once

#include "address.h"
#include "clock.h"
#include "gossip.pb.h"
#include "incarnation.h"
#include "store_position.h"
#include "store_reader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiaspan {

// A peer that has sent no report for longer than this is down or disconnected: VMs send several datagrams in
// this time.
constexpr milliseconds peer_silence_timeout{1500};
// A newly discovered peer that has not sent a report yet counts as alive for this time.
constexpr milliseconds new_peer_grace{2000};
// A silent peer still counts as a replica of the token buckets until its record is removed and this time has
// passed.
constexpr milliseconds peer_retention{10'000};

// Number of requests of one class of a service. `service` is the lower 32 bits of the hash of the name,
// `priority` the class's packed pair (policy/admission.h).
struct class_count {
    std::uint32_t service = 0;
    std::uint32_t priority = 0;
    std::uint64_t asked = 0;
};

// The counters of a peer as last forwarded by this VM as a hub. Keys are the lower 32 bits of the hash of the
// workspace or service name.
struct forwarded_counts {
    std::unordered_map<std::uint32_t, std::uint64_t> workspace_uses;
    std::unordered_map<std::uint32_t, std::uint64_t> service_demands;
    std::vector<class_count> class_demands;
};

// Requests in flight by target. Keys are the lower 32 bits of the hash of the target's id.
using target_use_counts = std::unordered_map<std::uint32_t, std::uint32_t>;

// Another VM.
struct peer_vm {
    std::string name;
    std::string availability_zone;
    std::string region;
    socket_address caller_address;
    socket_address peer_address;
    socket_address gossip_address;
    // Where the VM serves requests for VMs that cannot reach the targets; port 0 if it does not.
    socket_address relay_address;
    // What follows belongs to the current incarnation, apart from `has_store_record`.
    incarnation_history incarnations;
    // Bandwidth of the VM's link in Mbit/s; 0 if unknown.
    std::uint32_t link_mbps = 0;
    // CPU share of the VM in thousandths of a core; 0 if unknown.
    std::uint32_t cpu_millicores = 0;
    // Must be sent with requests to `relay_address`.
    std::uint64_t relay_key = 0;
    // Whether the VM announces the position of its mirror only while the mirror is verified; see node_core.
    bool announces_verified_mirror = false;
    // Whether the store contains the VM's record.
    bool has_store_record = false;

    // When the last report arrived; empty before the first report.
    std::optional<instant> last_heard;
    // When this incarnation was first added to the table.
    instant first_seen;
    // Sequence number of the last report.
    std::uint64_t sequence = 0;
    // Whether the VM is ready for new requests.
    bool accepting = false;
    // Whether the VM's event loop was delayed within the last second.
    bool busy = false;
    // Position of the VM's store mirror.
    store_position mirror_position;
    // Whether the VM reads the store.
    store_access access = store_access::not_reading;
    // Whether the VM reaches no targets at all, and the services whose targets it cannot reach, as the lower
    // 32 bits of the hash of the name.
    bool targets_unreachable = false;
    std::vector<std::uint32_t> unreachable_services;
    // Values of the last report: requests in flight by target, admitted requests by workspace, and requests
    // read by service. Keys are the lower 32 bits of the name hash.
    target_use_counts target_uses;
    std::unordered_map<std::uint32_t, std::uint64_t> workspace_uses;
    std::unordered_map<std::uint32_t, std::uint64_t> service_demands;
    std::vector<class_count> class_demands;
    // Whether a report has had all counters, so that those that are still unknown were zero then.
    bool has_all_counters = false;
    // Sums that the peer sent as a first hub, and when the last ones arrived: requests in flight of its zone,
    // if that is in another region, and of all other regions, if the peer is in this VM's zone.
    target_use_counts zone_target_uses;
    target_use_counts remote_target_uses;
    instant sums_received_at;
    // Counters that this VM, as a hub, last forwarded to other zones of the region, to other regions, and
    // within its zone.
    forwarded_counts forwarded_to_zones;
    forwarded_counts forwarded_to_regions;
    forwarded_counts forwarded_in_zone;
};

// All known peers.
struct peer_table {
    std::map<std::string, peer_vm> by_name;
};

// Adds or updates a peer from its record. The record of a later incarnation resets everything known except
// `has_store_record` and the in-flight counts. Returns null if the record is invalid or from an earlier
// incarnation.
peer_vm* update_peer_record(peer_table& peers, const schema::VmRecord& record, instant now);

// Returns whether a report of the peer arrived within `peer_silence_timeout`.
[[nodiscard]] bool is_alive(const peer_vm& peer, instant now);

// Returns whether the peer is alive, or was discovered recently and may not have sent a report yet.
[[nodiscard]] bool is_presumed_alive(const peer_vm& peer, instant now);

// Removes peers that have no record in the store and have sent no report for `peer_retention`.
void expire_peers(peer_table& peers, instant now);

} // namespace cassiaspan
