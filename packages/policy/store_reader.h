// Choice of the VMs that read the store for all VMs of their availability zone. Normally one does. If it
// cannot reach the store, others try, twice as many in each round, until one of them succeeds.
#pragma once

#include <cstddef>
#include <vector>

namespace cassiaspan {

// Whether a VM reads the store.
enum class store_access {
    // Leaves it to another VM, or has not had a result yet.
    not_reading,
    // Its last call succeeded.
    reading,
    // Its last call failed.
    unreachable
};

// Returns whether the VM at `index` is to read the store. `zone` is the access of the VMs of its availability
// zone, most preferred first. A VM leaves it to a preferred one that reads it. Otherwise it reads if the
// preferred VMs that have not tried are no more than the VMs of the zone that have failed.
[[nodiscard]] bool should_read_store(const std::vector<store_access>& zone, std::size_t index);

// Returns the factor by which the VM at `index` lengthens the pauses between its failed calls, so that a zone
// whose VMs all fail does not call the store as often as many VMs. It grows with the number of preferred VMs
// that have failed, up to a bound that limits how late a VM notices that it can reach the store again.
[[nodiscard]] int retry_delay_factor(const std::vector<store_access>& zone, std::size_t index);

} // namespace cassiaspan
