// In a large fleet, two VMs of each availability zone are its hubs: they pass on what the VMs report, and the
// first of them reads the store. The others report to the hubs of their zone alone, so that links between
// zones and store calls do not grow with the square of the fleet. Hubs follow from what is known of the VMs,
// without agreement: while views differ, a report travels twice.
#pragma once

#include "node_core.h"

#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// Up to this many VMs, each talks to all others and reads the store itself.
constexpr std::size_t max_full_mesh_vms = 12;

// Returns whether the fleet is large enough for hubs.
[[nodiscard]] bool uses_hubs(const node_core& core);

// Returns the names of the zone's hubs: of the VMs that are heard, or have just become known, those with the
// widest links, as a hub sends to its whole zone at once; then those with the lowest hashes.
[[nodiscard]] std::vector<std::string> hubs_of(const node_core& core, const std::string& availability_zone);

// Returns this VM's place among the hubs of its zone; nothing when it is none.
[[nodiscard]] std::optional<std::size_t> hub_rank(const node_core& core);

// Returns whether this VM reads the store itself.
[[nodiscard]] bool reads_store_directly(const node_core& core);

} // namespace cassiaspan
