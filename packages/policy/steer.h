// Orders the VMs that a caller is told to use.
#pragma once

#include "targets.h"

#include <compare>
#include <string>
#include <vector>

namespace cassiaspan {

// What is known of one VM.
struct vm_candidate {
    std::string name;
    std::string caller_address;
    location zone_location;
    bool leaving = false;
    // The VM said itself, not long ago, that it can serve keyed work.
    bool licensed = false;
    // The VM answered not long ago.
    bool reachable = false;
    auto operator<=>(const vm_candidate&) const = default;
};

// Returns the VMs to use, best first: serving before unproven ones, near before far, in random order among
// equals. Leaving VMs are left out unless there is no other.
[[nodiscard]] std::vector<vm_candidate> rank_vms(std::vector<vm_candidate> vms, const location& caller,
                                                 random_engine& random);

} // namespace cassiaspan
