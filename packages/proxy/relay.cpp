#include "relay.h"

#include "relay_choice.h"
#include "stable_hash.h"
#include "target_connections.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace cassiaspan {

namespace {

// A VM whose event loop is delayed by more than this serves no requests for peers: its own callers wait
// already.
constexpr milliseconds max_loop_delay_for_relays{200};
// Open files of the VM for each request that it serves for peers. Two of them are connections of the request,
// to the peer and to a target.
constexpr std::size_t open_files_per_relayed_request = 8;
// Time after which a peer without room is asked again.
constexpr milliseconds busy_retry_after{500};

constexpr int hexadecimal = 16;

constexpr std::array<const char*, 7> all_relay_headers{
    relay_headers::key,      relay_headers::service, relay_headers::workspace, relay_headers::config,
    relay_headers::attempts, relay_headers::target,  relay_headers::refused};

// Returns the record that holds the connections to the peer; creates it for the peer's incarnation.
target_ptr get_relay(node_core& core, const peer_vm& peer) {
    target_ptr& relay = core.relays[peer.name];
    const auto incarnation = static_cast<std::int64_t>(peer.incarnations.current);
    if (!relay || relay->info.started_ms != incarnation || relay->info.address != peer.relay_address) {
        relay = std::make_shared<target_record>();
        relay->is_peer = true;
        relay->info.id = peer.name;
        relay->info.address = peer.relay_address;
        relay->info.started_ms = incarnation;
        relay->first_seen = now_of(core);
    }
    return relay;
}

std::string_view field_of(const http::fields& head, const char* name) {
    const auto text = head[name];
    return {text.data(), text.size()};
}

// Returns the peers that can relay the request to its service, apart from those that were tried.
std::vector<const peer_vm*> find_relay_peers(const node_core& core, const request_plan& plan,
                                             const std::vector<target_ptr>& tried) {
    const instant now = now_of(core);
    const std::uint32_t service_hash = low_32_bits(stable_hash(plan.service));
    const std::vector<std::string> unrestricted;
    const auto& workspace_regions =
        plan.workspace != nullptr ? plan.workspace->allowed_regions : unrestricted;
    std::vector<const peer_vm*> peers;
    for (const auto& [name, peer] : core.peers.by_name) {
        if (!is_alive(peer, now) || !peer.accepting || peer.relay_address.port == 0 ||
            !reaches_service(peer, service_hash) ||
            !is_region_allowed(plan.route->allowed_regions, workspace_regions, peer.region)) {
            continue;
        }
        const auto relay = core.relays.find(name);
        if (relay == core.relays.end() ||
            (!is_backing_off(relay->second->health, now) &&
             std::find(tried.begin(), tried.end(), relay->second) == tried.end())) {
            peers.push_back(&peer);
        }
    }
    return peers;
}

relay_candidate make_candidate(const node_core& core, const peer_vm& peer) {
    const auto relay = core.relays.find(peer.name);
    return {peer.availability_zone == core.settings.availability_zone, peer.region == core.settings.region,
            peer.link_mbps, relay == core.relays.end() ? 0 : relay->second->in_flight};
}

// Parses a number that is the whole text. Returns false if it is none.
template <class Number> bool parse_number(std::string_view text, Number& number, int base = 10) {
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

} // namespace

bool is_relay_header(boost::beast::string_view name) {
    return std::any_of(all_relay_headers.begin(), all_relay_headers.end(),
                       [name](const char* each) { return boost::beast::iequals(name, each); });
}

bool reaches_service(const peer_vm& peer, std::uint32_t service_hash) {
    return !peer.targets_unreachable &&
           std::find(peer.unreachable_services.begin(), peer.unreachable_services.end(), service_hash) ==
               peer.unreachable_services.end();
}

bool is_out_of_reach(const node_core& core, const std::string& service) {
    const auto found = core.services.find(service);
    return core.reach.is_lost || (found != core.services.end() && found->second.reach.is_lost);
}

target_ptr select_relay(node_core& core, const request_plan& plan, const std::vector<target_ptr>& tried) {
    const std::vector<const peer_vm*> peers = find_relay_peers(core, plan, tried);
    std::vector<relay_candidate> candidates;
    std::transform(peers.begin(), peers.end(), std::back_inserter(candidates),
                   [&core](const peer_vm* peer) { return make_candidate(core, *peer); });
    const auto index = choose_relay(candidates, core.random);
    return index ? get_relay(core, *peers[*index]) : nullptr;
}

void set_relay_headers(const node_core& core, http::request_header<>& head, const target_record& peer,
                       const request_plan& plan, std::size_t attempts_left) {
    const auto found = core.peers.by_name.find(peer.info.id);
    const std::uint64_t key = found == core.peers.by_name.end() ? 0 : found->second.relay_key;
    head.set(relay_headers::key, fmt::format("{:016x}", key));
    head.set(relay_headers::service, plan.service);
    head.set(relay_headers::config, std::to_string(plan.config->rules().version));
    head.set(relay_headers::attempts, std::to_string(attempts_left));
    if (plan.workspace != nullptr) {
        head.set(relay_headers::workspace, plan.workspace->name);
    }
}

void clear_relay_headers(http::request_header<>& head) {
    for (const char* name : all_relay_headers) {
        head.erase(name);
    }
}

void remove_stale_relays(node_core& core) {
    const instant now = now_of(core);
    std::erase_if(core.relays, [&core, now](const auto& entry) {
        const auto& [name, relay] = entry;
        close_expired_connections(*relay, now);
        return relay->in_flight == 0 && core.peers.by_name.count(name) == 0;
    });
}

tl::expected<relayed_request, local_reply> parse_relay_headers(const node_core& core,
                                                               const http::fields& head) {
    constexpr unsigned status_forbidden = 403;
    constexpr unsigned status_bad_request = 400;
    constexpr unsigned status_unavailable = 503;
    std::uint64_t key = 0;
    if (!parse_number(field_of(head, relay_headers::key), key, hexadecimal) || key != core.relay_key) {
        return tl::unexpected(local_reply{status_forbidden, "not_a_vm", busy_retry_after, 0, true});
    }
    relayed_request relay;
    relay.service = std::string(field_of(head, relay_headers::service));
    relay.workspace = std::string(field_of(head, relay_headers::workspace));
    std::uint64_t version = 0;
    if (relay.service.empty() || !parse_number(field_of(head, relay_headers::config), version) ||
        !parse_number(field_of(head, relay_headers::attempts), relay.attempts_left) ||
        relay.attempts_left == 0) {
        return tl::unexpected(local_reply{status_bad_request, "malformed_relay", {}});
    }
    if (!core.config || core.config->rules().version < version) {
        return tl::unexpected(local_reply{status_unavailable, "relay_config", busy_retry_after, 0, true});
    }
    if (is_out_of_reach(core, relay.service)) {
        return tl::unexpected(local_reply{status_unavailable, "relay_out_of_reach", busy_retry_after});
    }
    if (core.loop_delay > max_loop_delay_for_relays ||
        core.relayed_requests >= core.settings.max_open_files / open_files_per_relayed_request) {
        return tl::unexpected(local_reply{status_unavailable, "relay_busy", busy_retry_after, 0, true});
    }
    return relay;
}

} // namespace cassiaspan
