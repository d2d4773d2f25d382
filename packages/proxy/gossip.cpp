#include "gossip.h"

#include "fleet_hubs.h"
#include "vm_report.h"

#include <algorithm>
#include <set>

namespace cassiaspan {

namespace {

// Time between datagrams to VMs of the own region: well below the time of a request.
constexpr milliseconds near_interval{100};
// Every so many rounds the VMs of other regions hear too.
constexpr std::uint64_t far_rounds = 4;
// Every so many rounds the datagrams also tell the addresses of the sender and of some others.
constexpr std::uint64_t full_record_rounds = 20;
// Records of other VMs in one datagram.
constexpr std::size_t max_others = 3;
constexpr std::size_t max_datagram = 60'000;
// In a large fleet, VMs report to their hubs every so many rounds.
constexpr std::uint64_t report_rounds = 2;
// The second hub of a zone forwards every so many rounds, so that VMs are still heard when the first one
// ends.
constexpr std::uint64_t standby_rounds = 3 * far_rounds;
// Reports that a hub passes on in one datagram.
constexpr int max_forwarded = 24;

// Adds the records of some VMs, others each time.
void add_others(const node_core& core, schema::Gossip& gossip, std::uint64_t sequence) {
    const instant now = now_of(core);
    const std::size_t total = std::max<std::size_t>(core.peers.by_name.size(), 1);
    const std::size_t first = sequence / full_record_rounds * max_others % total;
    std::size_t index = 0;
    for (const auto& [name, peer] : core.peers.by_name) {
        const std::size_t turn = (index++ + total - first) % total;
        if (turn >= max_others || !is_alive(peer, now)) {
            continue;
        }
        schema::VmRecord& record = *gossip.add_others();
        record.set_name(name);
        record.set_availability_zone(peer.availability_zone);
        record.set_region(peer.region);
        record.set_caller_address(format_address(peer.caller_address));
        record.set_peer_address(format_address(peer.peer_address));
        record.set_gossip_address(format_address(peer.gossip_address));
        record.set_started_ms(peer.started_ms);
        record.set_link_mbps(peer.link_mbps);
    }
}

// Returns whether more of some contract was used since the last report than VMs elsewhere should be unaware
// of.
bool is_report_urgent(const node_core& core,
                      const std::unordered_map<std::uint32_t, std::uint64_t>& reported) {
    // Part of the burst, divided by all VMs, that may be used unreported.
    constexpr double unreported_part = 0.2;
    const auto total = static_cast<double>(count_bucket_replicas(core).total);
    return std::any_of(core.workspaces.begin(), core.workspaces.end(), [&](const auto& entry) {
        const workspace_budget& use = entry.second;
        const auto before = reported.find(use.name_hash);
        const std::uint64_t known = before == reported.end() ? 0 : before->second;
        return use.limits.rate > 0 &&
               static_cast<double>(use.admitted - known) * total > unreported_part * use.limits.burst;
    });
}

// Returns the hubs of all other availability zones.
std::set<std::string> other_hubs_of(const node_core& core) {
    std::set<std::string> hubs;
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        if (zone != core.settings.availability_zone) {
            for (const std::string& hub : hubs_of(core, zone)) {
                hubs.insert(hub);
            }
        }
    }
    return hubs;
}

// Collects reports into datagrams of bounded size, each beginning with the sender's own report.
class report_bundle {
public:
    explicit report_bundle(const schema::Gossip& own) : part(own) {}

    void add(const schema::Gossip& report) {
        *this->part.add_forwarded() = report;
        if (this->part.forwarded_size() >= max_forwarded) {
            this->flush();
        }
    }

    // Returns the datagrams; the first one also without any report added.
    const std::vector<std::string>& finish() {
        if (this->part.forwarded_size() > 0 || this->datagrams.empty()) {
            this->flush();
        }
        return this->datagrams;
    }

private:
    void flush() {
        this->datagrams.push_back(this->part.SerializeAsString());
        this->part.clear_forwarded();
    }

    schema::Gossip part;
    std::vector<std::string> datagrams;
};

} // namespace

error_code gossip_socket::open() {
    error_code error;
    const udp::endpoint endpoint = to_udp_endpoint(this->core.settings.gossip_address);
    this->socket.open(endpoint.protocol(), error);
    if (!error) {
        this->socket.bind(endpoint, error);
    }
    if (!error) {
        this->socket.non_blocking(true, error);
    }
    return error;
}

void gossip_socket::send_to(const socket_address& address, const std::string& datagram) {
    error_code error;
    this->socket.send_to(asio::buffer(datagram), to_udp_endpoint(address), 0, error);
    if (!error) {
        ++this->core.metrics.gossip_sent;
    }
}

schema::Gossip gossip_socket::next_report() {
    ++this->sequence;
    return make_report(this->core, this->sequence, this->sequence % full_record_rounds < far_rounds);
}

void gossip_socket::announce() {
    const std::string datagram = this->next_report().SerializeAsString();
    for (const auto& [name, peer] : this->core.peers.by_name) {
        this->send_to(peer.gossip_address, datagram);
    }
}

asio::awaitable<void> gossip_socket::send_loop() {
    for (std::uint64_t round = 0;; ++round) {
        if (uses_hubs(this->core)) {
            this->send_by_hubs(round);
        } else {
            this->send_to_all(round);
        }
        co_await sleep_for(this->core.context, near_interval);
    }
}

void gossip_socket::send_to_all(std::uint64_t round) {
    schema::Gossip gossip = this->next_report();
    const std::string near = gossip.SerializeAsString();
    const bool is_far_round = round % far_rounds == 0 || is_report_urgent(this->core, this->reported_uses);
    if (is_far_round) {
        for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
            this->reported_uses[use.workspace()] = use.admitted();
        }
        if (has_addresses(gossip)) {
            add_others(this->core, gossip, this->sequence);
        }
    }
    const std::string far = is_far_round ? gossip.SerializeAsString() : std::string();
    std::size_t heard = 0;
    for (const auto& [name, peer] : this->core.peers.by_name) {
        const bool is_near = peer.region == this->core.settings.region;
        heard += is_alive(peer, now_of(this->core)) ? 1 : 0;
        if (is_near && !is_far_round) {
            this->send_to(peer.gossip_address, near);
        } else if (is_far_round) {
            this->send_to(peer.gossip_address, far);
        }
    }
    if (heard == 0 && is_far_round) {
        this->send_to_seeds(far);
    }
}

// Without a peer, the VMs of the settings may know the others.
void gossip_socket::send_to_seeds(const std::string& datagram) {
    for (socket_address seed : this->core.settings.seeds) {
        seed.port = this->core.settings.gossip_address.port;
        this->send_to(seed, datagram);
    }
}

void gossip_socket::send_by_hubs(std::uint64_t round) {
    if (round % report_rounds != 0) {
        return;
    }
    const schema::Gossip own = this->next_report();
    const std::vector<std::string> hubs = hubs_of(this->core, this->core.settings.availability_zone);
    const std::optional<std::size_t> rank = hub_rank(this->core);
    const std::uint64_t rounds = rank == std::size_t{0} ? far_rounds : standby_rounds;
    const bool forwards = rank && round % rounds == 0;
    // The first hub tells the region's other zones in each round: it is their hubs that pass it on.
    if (forwards || rank == std::size_t{0}) {
        this->forward_zone(own, forwards);
    }
    if (forwards) {
        this->forward_to_zone(own);
        return;
    }
    const std::string report = own.SerializeAsString();
    for (const std::string& hub : hubs) {
        if (hub != this->core.settings.vm) {
            this->send_to(this->core.peers.by_name.at(hub).gossip_address, report);
        }
    }
}

// Loads of targets stay within the region: elsewhere they matter less than the bytes that telling them takes.
void gossip_socket::forward_zone(const schema::Gossip& own, bool to_far_regions) {
    schema::Gossip far_own = own;
    far_own.clear_target_uses();
    report_bundle near(own);
    report_bundle far(far_own);
    const bool whole = has_addresses(own);
    for (auto& [name, peer] : this->core.peers.by_name) {
        if (is_alive(peer, now_of(this->core)) &&
            peer.availability_zone == this->core.settings.availability_zone) {
            near.add(make_forwarded_report(peer, peer.forwarded_to_zones, true, whole));
            if (to_far_regions) {
                far.add(make_forwarded_report(peer, peer.forwarded_to_regions, false, whole));
            }
        }
    }
    for (const std::string& hub : other_hubs_of(this->core)) {
        const peer_vm& peer = this->core.peers.by_name.at(hub);
        const bool is_near = peer.region == this->core.settings.region;
        if (!is_near && !to_far_regions) {
            continue;
        }
        for (const std::string& datagram : (is_near ? near : far).finish()) {
            this->send_to(peer.gossip_address, datagram);
        }
    }
}

void gossip_socket::forward_to_zone(const schema::Gossip& own) {
    report_bundle bundle(own);
    const bool whole = has_addresses(own);
    for (auto& [name, peer] : this->core.peers.by_name) {
        if (is_alive(peer, now_of(this->core))) {
            const bool is_near = peer.region == this->core.settings.region;
            bundle.add(make_forwarded_report(peer, peer.forwarded_in_zone, is_near, whole));
        }
    }
    const std::vector<std::string>& datagrams = bundle.finish();
    for (const auto& [name, peer] : this->core.peers.by_name) {
        if (peer.availability_zone == this->core.settings.availability_zone) {
            for (const std::string& datagram : datagrams) {
                this->send_to(peer.gossip_address, datagram);
            }
        }
    }
}

asio::awaitable<void> gossip_socket::receive_loop() {
    std::string datagram(max_datagram, '\0');
    for (;;) {
        udp::endpoint sender;
        error_code error;
        const std::size_t size =
            co_await this->socket.async_receive_from(asio::buffer(datagram), sender, capture_error(error));
        if (!this->socket.is_open()) {
            co_return;
        }
        if (!error) {
            process_datagram(this->core, datagram.substr(0, size));
        }
    }
}

} // namespace cassiaspan
