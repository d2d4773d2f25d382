#include "overlay.h"

#include "digest.h"

#include <algorithm>
#include <set>

namespace cassiaspan {

namespace {

std::vector<schema::Vm> rank_peers(const schema::VmList& list, const schema::Member& self) {
    const std::uint64_t seed = stable_hash(self.vm());
    std::vector<schema::Vm> peers;
    for (const auto& vm : list.vms()) {
        if (vm.name() != self.vm()) {
            peers.push_back(vm);
        }
    }
    std::sort(peers.begin(), peers.end(), [seed](const schema::Vm& a, const schema::Vm& b) {
        return stable_hash(a.name(), seed) > stable_hash(b.name(), seed);
    });
    return peers;
}

} // namespace

std::vector<schema::Vm> choose_overlay_peers(const schema::VmList& list, const schema::Member& self,
                                             std::size_t degree) {
    const std::vector<schema::Vm> ranked = rank_peers(list, self);
    std::vector<schema::Vm> chosen;
    std::set<std::string> names;
    const auto take = [&](std::size_t count, auto&& fits) {
        for (const auto& vm : ranked) {
            if (count == 0 || chosen.size() >= degree) {
                return;
            }
            if (fits(vm) && names.insert(vm.name()).second) {
                chosen.push_back(vm);
                --count;
            }
        }
    };
    take(min_links_outside_region, [&](const schema::Vm& vm) { return vm.region() != self.region(); });
    take(min_links_outside_zone,
         [&](const schema::Vm& vm) { return vm.availability_zone() != self.availability_zone(); });
    // What is left of the degree goes to near peers, which cost the least.
    take(degree, [&](const schema::Vm& vm) { return vm.availability_zone() == self.availability_zone(); });
    take(degree, [&](const schema::Vm& vm) { return vm.region() == self.region(); });
    take(degree, [](const schema::Vm& /*vm*/) { return true; });
    return chosen;
}

} // namespace cassiaspan
