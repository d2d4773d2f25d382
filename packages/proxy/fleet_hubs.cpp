#include "fleet_hubs.h"

#include "stable_hash.h"

#include <algorithm>
#include <tuple>

namespace cassiaspan {

namespace {

constexpr std::size_t hubs_per_zone = 2;
// A VM that has just become known is taken to be there for this time.
constexpr milliseconds first_hearing{2000};

bool is_present(const peer_vm& peer, instant now) {
    return is_alive(peer, now) || (!peer.heard && now - peer.first_seen < first_hearing);
}

} // namespace

bool uses_hubs(const node_core& core) {
    return core.peers.by_name.size() + 1 > max_full_mesh_vms;
}

std::vector<std::string> hubs_of(const node_core& core, const std::string& availability_zone) {
    const instant now = now_of(core);
    // Wider links come first.
    constexpr auto narrowness = [](std::uint32_t link_mbps) { return -static_cast<std::int64_t>(link_mbps); };
    std::vector<std::tuple<std::int64_t, std::uint64_t, std::string>> ranked;
    if (availability_zone == core.settings.availability_zone && is_accepting(core)) {
        ranked.emplace_back(narrowness(core.settings.link_mbps), stable_hash(core.settings.vm),
                            core.settings.vm);
    }
    for (const auto& [name, peer] : core.peers.by_name) {
        if (peer.availability_zone == availability_zone && is_present(peer, now)) {
            ranked.emplace_back(narrowness(peer.link_mbps), stable_hash(name), name);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> hubs;
    for (std::size_t i = 0; i < std::min(ranked.size(), hubs_per_zone); ++i) {
        hubs.push_back(std::get<std::string>(ranked[i]));
    }
    return hubs;
}

std::optional<std::size_t> hub_rank(const node_core& core) {
    const std::vector<std::string> hubs = hubs_of(core, core.settings.availability_zone);
    const auto found = std::find(hubs.begin(), hubs.end(), core.settings.vm);
    return found == hubs.end() ? std::nullopt : std::optional<std::size_t>(found - hubs.begin());
}

bool reads_store_directly(const node_core& core) {
    return !core.config || !uses_hubs(core) || hub_rank(core) == std::size_t{0};
}

} // namespace cassiaspan
