// In a large fleet, two VMs of each region are its hubs: they read the store and pass on what the VMs report.
// The others report to their hubs alone, so that links and store calls do not grow with the square of the
// fleet. Hubs follow from what is known of the VMs, without agreement: while views differ, a report travels
// twice.
#pragma once

#include "node_core.h"

#include <string>
#include <vector>

namespace cassiaspan {

// Up to this many VMs, each talks to all others and reads the store itself.
constexpr std::size_t max_mesh_vms = 12;

// Returns whether the fleet is large enough for hubs.
[[nodiscard]] bool has_hubs(const node_core& core);

// Returns the names of the region's hubs: of the VMs that are heard, or have just become known, those with
// the lowest hashes.
[[nodiscard]] std::vector<std::string> hubs_of(const node_core& core, const std::string& region);

// Returns whether this VM is a hub of its region.
[[nodiscard]] bool is_hub(const node_core& core);

// Returns whether this VM reads the store itself.
[[nodiscard]] bool reads_store(const node_core& core);

} // namespace cassiaspan
