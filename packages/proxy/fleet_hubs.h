// Hub selection for large fleets. Two VMs of each availability zone are its hubs: they forward the reports of
// the zone's VMs, and the first hub reads the store while it can reach it. The other VMs send reports only to
// the hubs of their zone, so that traffic between zones and store calls do not grow with the square of the
// fleet size. Each VM computes the hubs from its own view of the peers, without consensus; while views
// differ, a report may be delivered twice.
#pragma once

#include "node_core.h"

#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// Up to this fleet size, every VM sends to all others and reads the store itself.
constexpr std::size_t max_full_mesh_vms = 12;

// Returns whether the fleet is large enough to use hubs.
[[nodiscard]] bool uses_hubs(const node_core& core);

// Returns the names of the zone's hubs, first hub first; fewer than two if the zone has fewer candidates.
// Candidates are the live peers, newly discovered peers and, while it accepts requests, this VM. VMs that
// accept requests come first. They are ordered by link bandwidth, highest first, because a hub sends to its
// whole zone at once, then by name hash, lowest first.
[[nodiscard]] std::vector<std::string> hubs_of(const node_core& core, const std::string& availability_zone);

// Returns this VM's index among the hubs of its zone; empty if it is not a hub.
[[nodiscard]] std::optional<std::size_t> hub_rank(const node_core& core);

// Returns whether this VM is to read the store itself: every VM of a small fleet, any VM that has no
// configuration yet, in each zone the first hub or, if that cannot reach the store, further VMs in the order
// of hubs, see should_read_store(), and any VM that does not receive the changes that others have.
[[nodiscard]] bool reads_store_directly(const node_core& core);

// Returns the factor for the pauses between this VM's failed calls to the store; see retry_delay_factor().
[[nodiscard]] int store_retry_factor(const node_core& core);

} // namespace cassiaspan
