#include "steer.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// 0 for the caller's zone, 1 for its region, 2 for other regions.
int distance_rank(const vm_candidate& vm, const location& caller) {
    if (vm.zone_location.availability_zone == caller.availability_zone) {
        return 0;
    }
    return vm.zone_location.region == caller.region ? 1 : 2;
}

// 0 for licensed, 1 for reachable, 2 for other VMs.
int readiness_rank(const vm_candidate& vm) {
    if (vm.licensed) {
        return 0;
    }
    return vm.reachable ? 1 : 2;
}

} // namespace

std::vector<vm_candidate> rank_vms(std::vector<vm_candidate> vms, const location& caller,
                                   random_engine& random) {
    const bool any_staying =
        std::any_of(vms.begin(), vms.end(), [](const vm_candidate& vm) { return !vm.leaving; });
    if (any_staying) {
        std::erase_if(vms, [](const vm_candidate& vm) { return vm.leaving; });
    }
    std::shuffle(vms.begin(), vms.end(), random);
    std::stable_sort(vms.begin(), vms.end(), [&](const vm_candidate& a, const vm_candidate& b) {
        return std::make_pair(readiness_rank(a), distance_rank(a, caller)) <
               std::make_pair(readiness_rank(b), distance_rank(b, caller));
    });
    return vms;
}

} // namespace cassiaspan
