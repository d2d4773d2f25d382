// Ranks the VMs for the answer to a steering request of a caller.
#pragma once

#include "targets.h"

#include <compare>
#include <string>
#include <vector>

namespace cassiaspan {

// What is known of one VM.
struct vm_candidate {
    std::string name;
    // Address on which the VM serves callers.
    std::string caller_address;
    location zone_location;
    // The VM is shutting down.
    bool leaving = false;
    // The VM recently reported that it may serve authenticated requests.
    bool licensed = false;
    // The VM recently answered a request.
    bool reachable = false;
    auto operator<=>(const vm_candidate&) const = default;
};

// Returns the VMs in order of preference: licensed, then reachable, then other VMs; within these by zone,
// then region; in random order among equals. Leaving VMs are excluded unless all are leaving.
[[nodiscard]] std::vector<vm_candidate> rank_vms(std::vector<vm_candidate> vms, const location& caller,
                                                 random_engine& random);

} // namespace cassiaspan
