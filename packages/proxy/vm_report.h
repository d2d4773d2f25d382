// Creates and applies the reports that VMs exchange by gossip: target loads, token bucket use, request rates,
// crash reports and the revision of the store mirror. A VM's own report carries its complete state,
// so losing one does no harm; a hub leaves unchanged counters out of most reports that it forwards.
#pragma once

#include "node_core.h"

#include <string>

namespace cassiaspan {

// Returns this VM's record: name, location, addresses, incarnation, link bandwidth and CPU share.
[[nodiscard]] schema::VmRecord make_vm_record(const node_core& core);

// Returns the record of a peer's current incarnation.
[[nodiscard]] schema::VmRecord make_peer_record(const peer_vm& peer);

// Returns this VM's report. Without addresses it is shorter, but can be used only by receivers that already
// know this VM's record.
[[nodiscard]] schema::Gossip make_report(const node_core& core, std::uint64_t sequence, bool with_addresses);

// Returns whether the report includes the addresses of its sender.
[[nodiscard]] bool has_addresses(const schema::Gossip& report);

// Adds the requests that the VMs of this VM's zone have in flight, by target, for the hubs of other regions.
// Only a zone's first hub may send them, or they would count twice.
void add_zone_target_uses(const node_core& core, schema::Gossip& report);
// Adds the requests that the VMs of all other regions have in flight, by target, for the VMs of this VM's
// zone. Only a zone's first hub may send them.
void add_remote_target_uses(const node_core& core, schema::Gossip& report);
// Returns a peer's report in the form that a hub forwards. It has the counters that changed since
// `last_forwarded`, or all of them if `send_all_counts`, and updates `last_forwarded` to match. Target loads
// are included if `with_target_uses`.
[[nodiscard]] schema::Gossip make_forwarded_report(const peer_vm& peer, forwarded_counts& last_forwarded,
                                                   bool with_target_uses, bool send_all_counts);

// Parses a datagram and applies its report. Returns false if the datagram is malformed, or the report was
// rejected by apply_report().
bool process_datagram(node_core& core, const std::string& datagram);

// Applies a report and those that it forwards. Returns false if the sender's own report is outdated, comes
// from this VM itself, or lacks the addresses of an unknown sender.
bool apply_report(node_core& core, const schema::Gossip& gossip);

// Clears all in-flight counts of peers that are no longer alive, and logs this. Clears the sums of peers that
// have sent none for `peer_silence_timeout`.
void clear_silent_peer_loads(node_core& core);

} // namespace cassiaspan
