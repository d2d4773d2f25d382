#include "steer.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Smaller is better.
int distance(const vm_state& vm, const location& caller) {
    if (vm.place.availability_zone == caller.availability_zone) {
        return 0;
    }
    return vm.place.region == caller.region ? 1 : 2;
}

int doubt(const vm_state& vm) {
    if (vm.licensed) {
        return 0;
    }
    return vm.reachable ? 1 : 2;
}

} // namespace

std::vector<vm_state> order_vms(std::vector<vm_state> vms, const location& caller, random_engine& random) {
    const bool some_stay =
        std::any_of(vms.begin(), vms.end(), [](const vm_state& vm) { return !vm.leaving; });
    if (some_stay) {
        std::erase_if(vms, [](const vm_state& vm) { return vm.leaving; });
    }
    std::shuffle(vms.begin(), vms.end(), random);
    std::stable_sort(vms.begin(), vms.end(), [&](const vm_state& a, const vm_state& b) {
        return std::make_pair(doubt(a), distance(a, caller)) < std::make_pair(doubt(b), distance(b, caller));
    });
    return vms;
}

} // namespace cassiaspan
