// What a VM reports of itself to the others: its loads at targets, its use of contracts, crashes, and how new
// its copy of the store is. A report holds the whole state, so that a lost one does no harm.
#pragma once

#include "node_core.h"

#include <string>

namespace cassiaspan {

// Returns this VM's own record.
[[nodiscard]] schema::VmRecord make_vm_record(const node_core& core);

// Returns this VM's report. Without addresses it is shorter; the receivers must know them from before.
[[nodiscard]] schema::Gossip make_report(const node_core& core, std::uint64_t sequence, bool with_addresses);

// Returns whether the report tells how its sender is reached.
[[nodiscard]] bool has_addresses(const schema::Gossip& report);

// Returns another VM's report as a hub passes it on: the counts that have grown since `before`, or all of
// them.
[[nodiscard]] schema::Gossip make_forwarded_report(const peer_vm& peer, forwarded_counts& before,
                                                   bool with_targets, bool whole);

// Takes in a datagram. Returns false when it is unreadable, old, or the VM's own.
bool process_datagram(node_core& core, const std::string& datagram);

// Takes in one report and those that it forwards. Returns false when the sender's is old or the VM's own.
bool apply_report(node_core& core, const schema::Gossip& gossip);

// Forgets what VMs had in flight that have been silent for too long.
void clear_silent_peer_loads(node_core& core);

} // namespace cassiaspan
