#include "fleet_hubs.h"

#include "stable_hash.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <tuple>

namespace cassiaspan {

namespace {

constexpr std::size_t hubs_per_zone = 2;

// A peer that has not sent a report yet is presumed to accept requests.
bool is_presumed_accepting(const peer_vm& peer) {
    return peer.accepting || !peer.last_heard.has_value();
}

// Returns whether this VM cannot take changes of the store from the peer.
bool is_outdated(const peer_vm& peer, const node_core& core) {
    return peer.last_heard.has_value() &&
           (!peer.announces_verified_mirror || peer.mirror_position.epoch < core.mirror.position.epoch);
}

// A candidate for the hubs of an availability zone.
struct hub_candidate {
    std::string name;
    std::uint32_t link_mbps = 0;
    // The VM accepts requests: it is not starting or stopping.
    bool is_accepting = true;
    store_access access = store_access::not_reading;
    // The VM is of a version whose mirror is not verified, or reports an earlier epoch of the store than this
    // VM, as versions do that know no epochs.
    bool is_outdated = false;
};

// Orders candidates by preference: highest bandwidth first. VMs that do not accept requests come last,
// because they do not act as hubs; they still receive reports, which a zone needs in which all VMs are
// starting.
bool is_preferred(const hub_candidate& left, const hub_candidate& right) {
    const auto sort_key = [](const hub_candidate& candidate) {
        return std::tuple(!candidate.is_accepting, -std::int64_t{candidate.link_mbps},
                          stable_hash(candidate.name), std::string_view(candidate.name));
    };
    return sort_key(left) < sort_key(right);
}

// Returns the candidates for hubs of the zone, most preferred first.
std::vector<hub_candidate> rank_candidates(const node_core& core, const std::string& availability_zone) {
    const instant now = now_of(core);
    std::vector<hub_candidate> candidates;
    if (availability_zone == core.settings.availability_zone && is_accepting(core)) {
        candidates.push_back({core.settings.vm, core.settings.link_mbps, true, core.own_store_access, false});
    }
    for (const auto& [name, peer] : core.peers.by_name) {
        if (peer.availability_zone == availability_zone && is_presumed_alive(peer, now)) {
            candidates.push_back(
                {name, peer.link_mbps, is_presumed_accepting(peer), peer.access, is_outdated(peer, core)});
        }
    }
    std::sort(candidates.begin(), candidates.end(), is_preferred);
    return candidates;
}

// The VMs that may read the store for this VM's zone.
struct zone_view {
    // Most preferred first.
    std::vector<store_access> accesses;
    // Index of this VM; the number of VMs if it is no candidate for a hub.
    std::size_t own_index = 0;
};

// Returns the zone as this VM sees it. Outdated candidates cannot read the store for this VM.
zone_view view_zone(const node_core& core) {
    std::vector<hub_candidate> candidates = rank_candidates(core, core.settings.availability_zone);
    std::erase_if(candidates, [](const hub_candidate& candidate) { return candidate.is_outdated; });
    const auto own =
        std::find_if(candidates.begin(), candidates.end(),
                     [&core](const hub_candidate& candidate) { return candidate.name == core.settings.vm; });
    zone_view zone;
    zone.own_index = static_cast<std::size_t>(own - candidates.begin());
    std::transform(candidates.begin(), candidates.end(), std::back_inserter(zone.accesses),
                   [](const hub_candidate& candidate) { return candidate.access; });
    return zone;
}

// Returns whether the VM is to read the store for its zone.
bool is_zone_reader(const node_core& core) {
    const zone_view zone = view_zone(core);
    return zone.own_index < zone.accesses.size() && should_read_store(zone.accesses, zone.own_index);
}

} // namespace

bool uses_hubs(const node_core& core) {
    return core.peers.by_name.size() + 1 > max_full_mesh_vms;
}

std::vector<std::string> hubs_of(const node_core& core, const std::string& availability_zone) {
    const std::vector<hub_candidate> candidates = rank_candidates(core, availability_zone);
    std::vector<std::string> hubs;
    for (std::size_t i = 0; i < std::min(candidates.size(), hubs_per_zone); ++i) {
        hubs.push_back(candidates[i].name);
    }
    return hubs;
}

std::optional<std::size_t> hub_rank(const node_core& core) {
    const std::vector<std::string> hubs = hubs_of(core, core.settings.availability_zone);
    const auto found = std::find(hubs.begin(), hubs.end(), core.settings.vm);
    return found == hubs.end() ? std::nullopt : std::optional<std::size_t>(found - hubs.begin());
}

bool reads_store_directly(const node_core& core) {
    return !core.config || !uses_hubs(core) || is_zone_reader(core) || is_overdue(core.lag, now_of(core));
}

int store_retry_factor(const node_core& core) {
    const zone_view zone = view_zone(core);
    const bool is_candidate = zone.own_index < zone.accesses.size();
    return uses_hubs(core) && is_candidate ? retry_delay_factor(zone.accesses, zone.own_index) : 1;
}

} // namespace cassiaspan
