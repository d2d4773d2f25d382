#include "gossip.h"

#include "fleet_hubs.h"
#include "vm_report.h"

#include <algorithm>
#include <vector>

namespace cassiaspan {

namespace {

// Interval between datagrams to VMs of the same region; well below the duration of a request.
constexpr milliseconds round_interval{100};
// Number of rounds between reports to other regions.
constexpr std::uint64_t cross_region_rounds = 4;
// Out of this many consecutive reports of a VM, the first `cross_region_rounds` include its addresses. In a
// small fleet, those of them that go to other regions also include the records of some other VMs.
constexpr std::uint64_t full_record_rounds = 20;
// Maximum number of peer records in one datagram.
constexpr std::size_t max_peer_records = 3;
// Size of the receive buffer.
constexpr std::size_t max_datagram_bytes = 60'000;
// Number of rounds between the reports of a VM to its hubs in a large fleet.
constexpr std::uint64_t hub_report_rounds = 2;
// Number of rounds between forwards by a zone's second hub. With them, the zone's VMs still count as alive
// elsewhere when the first hub fails.
constexpr std::uint64_t second_hub_rounds = 3 * cross_region_rounds;
// Maximum number of reports that a hub forwards in one datagram.
constexpr int max_forwarded_reports = 24;

// Adds the records of a few live peers, rotating through the table with the sequence number.
void add_peer_records(const node_core& core, schema::Gossip& gossip, std::uint64_t sequence) {
    const instant now = now_of(core);
    const std::size_t total = std::max<std::size_t>(core.peers.by_name.size(), 1);
    const std::size_t first = sequence / full_record_rounds * max_peer_records % total;
    std::size_t index = 0;
    for (const auto& [name, peer] : core.peers.by_name) {
        const std::size_t offset = (index++ + total - first) % total;
        if (offset >= max_peer_records || !is_alive(peer, now)) {
            continue;
        }
        *gossip.add_others() = make_peer_record(peer);
    }
}

// Returns whether this VM has admitted more requests of some workspace since the last cross-region report
// than may stay unreported until the next one.
bool is_report_urgent(const node_core& core,
                      const std::unordered_map<std::uint32_t, std::uint64_t>& reported_counts) {
    // Fraction of this VM's equal share of the burst that may be used without a report.
    constexpr double max_unreported_fraction = 0.2;
    const auto total = static_cast<double>(count_bucket_replicas(core).total);
    return std::any_of(core.workspaces.begin(), core.workspaces.end(), [&](const auto& entry) {
        const workspace_budget& budget = entry.second;
        const auto reported = reported_counts.find(budget.name_hash);
        const std::uint64_t reported_count = reported == reported_counts.end() ? 0 : reported->second;
        return budget.limits.rate > 0 && static_cast<double>(budget.admitted - reported_count) * total >
                                             max_unreported_fraction * budget.limits.burst;
    });
}

// A hub of another availability zone.
struct other_hub {
    const peer_vm* peer;
    bool is_first;
};

// Returns the hubs of all other availability zones.
std::vector<other_hub> hubs_of_other_zones(const node_core& core) {
    std::vector<other_hub> hubs;
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        if (zone == core.settings.availability_zone) {
            continue;
        }
        bool is_first = true;
        for (const std::string& name : hubs_of(core, zone)) {
            const auto found = core.peers.by_name.find(name);
            if (found != core.peers.by_name.end()) {
                hubs.push_back({&found->second, is_first});
            }
            is_first = false;
        }
    }
    return hubs;
}

// Packs forwarded reports into datagrams of at most `max_forwarded_reports` each. Every datagram starts with
// the sender's own report; only the first one includes its sums, because receivers ignore repeated reports.
class report_batch {
public:
    explicit report_batch(const schema::Gossip& own) : pending(own) {}

    void add(const schema::Gossip& report) {
        *this->pending.add_forwarded() = report;
        if (this->pending.forwarded_size() >= max_forwarded_reports) {
            this->flush();
        }
    }

    // Returns the serialized datagrams; there is at least one, even if no report was added.
    const std::vector<std::string>& finish() {
        if (this->pending.forwarded_size() > 0 || this->datagrams.empty()) {
            this->flush();
        }
        return this->datagrams;
    }

private:
    void flush() {
        this->datagrams.push_back(this->pending.SerializeAsString());
        this->pending.clear_forwarded();
        this->pending.clear_zone_target_uses();
        this->pending.clear_remote_target_uses();
    }

    schema::Gossip pending;
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
    return make_report(this->core, this->sequence, this->sequence % full_record_rounds < cross_region_rounds);
}

void gossip_socket::announce() {
    const std::string datagram = this->next_report().SerializeAsString();
    for (const auto& [name, peer] : this->core.peers.by_name) {
        this->send_to(peer.gossip_address, datagram);
    }
}

asio::awaitable<void> gossip_socket::send_loop() {
    for (std::uint64_t round_number = 0;; ++round_number) {
        if (uses_hubs(this->core)) {
            this->send_via_hubs(round_number);
        } else {
            this->send_full_mesh(round_number);
        }
        co_await sleep_for(this->core.context, round_interval);
    }
}

void gossip_socket::send_full_mesh(std::uint64_t round_number) {
    schema::Gossip report = this->next_report();
    const std::string same_region_datagram = report.SerializeAsString();
    const bool is_cross_region_round =
        round_number % cross_region_rounds == 0 || is_report_urgent(this->core, this->reported_admissions);
    if (is_cross_region_round) {
        for (const schema::WorkspaceUse& use : report.workspace_uses()) {
            this->reported_admissions[use.workspace()] = use.admitted();
        }
        if (has_addresses(report)) {
            add_peer_records(this->core, report, this->sequence);
        }
    }
    const std::string cross_region_datagram =
        is_cross_region_round ? report.SerializeAsString() : std::string();
    std::size_t alive_peers = 0;
    for (const auto& [name, peer] : this->core.peers.by_name) {
        const bool is_same_region = peer.region == this->core.settings.region;
        alive_peers += is_alive(peer, now_of(this->core)) ? 1 : 0;
        if (is_same_region && !is_cross_region_round) {
            this->send_to(peer.gossip_address, same_region_datagram);
        } else if (is_cross_region_round) {
            this->send_to(peer.gossip_address, cross_region_datagram);
        }
    }
    if (alive_peers == 0 && is_cross_region_round) {
        this->send_to_seeds(cross_region_datagram);
    }
}

// Used while no peer is alive: a seed VM may know the other VMs. Seeds are peer addresses, so the port is
// replaced by the gossip port.
void gossip_socket::send_to_seeds(const std::string& datagram) {
    for (socket_address seed : this->core.settings.seeds) {
        seed.port = this->core.settings.gossip_address.port;
        this->send_to(seed, datagram);
    }
}

void gossip_socket::send_via_hubs(std::uint64_t round_number) {
    if (round_number % hub_report_rounds != 0) {
        return;
    }
    const schema::Gossip own = this->next_report();
    const std::vector<std::string> hubs = hubs_of(this->core, this->core.settings.availability_zone);
    const std::optional<std::size_t> rank = hub_rank(this->core);
    const std::uint64_t forward_interval = rank == std::size_t{0} ? cross_region_rounds : second_hub_rounds;
    const bool forwards = rank && round_number % forward_interval == 0;
    // The first hub sends to the region's other zones in every reporting round; their hubs forward the
    // reports.
    const bool is_first_hub = rank == std::size_t{0};
    if (forwards || is_first_hub) {
        this->forward_to_other_zones(own, forwards, is_first_hub);
    }
    if (forwards) {
        this->forward_within_zone(own, is_first_hub);
        return;
    }
    const std::string datagram = own.SerializeAsString();
    for (const std::string& hub : hubs) {
        const auto found = this->core.peers.by_name.find(hub);
        if (found != this->core.peers.by_name.end()) {
            this->send_to(found->second.gossip_address, datagram);
        }
    }
}

// Other regions receive the in-flight counts of the zone as sums by target; one report a VM would use much
// more bandwidth.
void gossip_socket::forward_to_other_zones(const schema::Gossip& own, bool to_other_regions, bool with_sums) {
    schema::Gossip report_for_other_regions = own;
    report_for_other_regions.clear_target_uses();
    report_batch same_region_batch(own);
    report_batch cross_region_batch(report_for_other_regions);
    if (with_sums && to_other_regions) {
        add_zone_target_uses(this->core, report_for_other_regions);
    }
    report_batch first_hub_batch(report_for_other_regions);
    const bool send_all_counts = has_addresses(own);
    for (auto& [name, peer] : this->core.peers.by_name) {
        if (is_alive(peer, now_of(this->core)) &&
            peer.availability_zone == this->core.settings.availability_zone) {
            same_region_batch.add(
                make_forwarded_report(peer, peer.forwarded_to_zones, true, send_all_counts));
            if (to_other_regions) {
                const schema::Gossip forwarded =
                    make_forwarded_report(peer, peer.forwarded_to_regions, false, send_all_counts);
                cross_region_batch.add(forwarded);
                first_hub_batch.add(forwarded);
            }
        }
    }
    for (const other_hub& hub : hubs_of_other_zones(this->core)) {
        const bool is_same_region = hub.peer->region == this->core.settings.region;
        if (!is_same_region && !to_other_regions) {
            continue;
        }
        report_batch& batch = is_same_region ? same_region_batch
                              : hub.is_first ? first_hub_batch
                                             : cross_region_batch;
        for (const std::string& datagram : batch.finish()) {
            this->send_to(hub.peer->gossip_address, datagram);
        }
    }
}

void gossip_socket::forward_within_zone(const schema::Gossip& own, bool with_sums) {
    schema::Gossip report = own;
    if (with_sums) {
        add_remote_target_uses(this->core, report);
    }
    report_batch batch(report);
    const bool send_all_counts = has_addresses(own);
    for (auto& [name, peer] : this->core.peers.by_name) {
        if (is_alive(peer, now_of(this->core))) {
            const bool is_same_region = peer.region == this->core.settings.region;
            batch.add(make_forwarded_report(peer, peer.forwarded_in_zone, is_same_region, send_all_counts));
        }
    }
    const std::vector<std::string>& datagrams = batch.finish();
    for (const auto& [name, peer] : this->core.peers.by_name) {
        if (peer.availability_zone == this->core.settings.availability_zone) {
            for (const std::string& datagram : datagrams) {
                this->send_to(peer.gossip_address, datagram);
            }
        }
    }
}

asio::awaitable<void> gossip_socket::receive_loop() {
    std::string datagram(max_datagram_bytes, '\0');
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
