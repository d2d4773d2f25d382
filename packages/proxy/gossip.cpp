#include "gossip.h"

#include "fleet_hubs.h"

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
// The second hub of a region relays every so many rounds, so that VMs are still heard when the first one
// ends.
constexpr std::uint64_t standby_rounds = 3 * far_rounds;
// Reports that a hub passes on in one datagram.
constexpr int max_relayed = 24;

bool tells_addresses(const schema::Gossip& gossip) {
    return !gossip.sender().gossip_address().empty();
}

// Adds the records of some VMs, others each time.
void add_others(const node_core& core, schema::Gossip& gossip, std::uint64_t sequence) {
    const instant now = now_of(core);
    const std::size_t total = std::max<std::size_t>(core.peers.by_name.size(), 1);
    const std::size_t first = sequence / full_record_rounds * max_others % total;
    std::size_t index = 0;
    for (const auto& [name, peer] : core.peers.by_name) {
        const std::size_t turn = (index++ + total - first) % total;
        if (turn >= max_others || !is_heard(peer, now)) {
            continue;
        }
        schema::VmRecord& record = *gossip.add_others();
        record.set_name(name);
        record.set_availability_zone(peer.availability_zone);
        record.set_region(peer.region);
        record.set_caller_address(render_address(peer.caller_address));
        record.set_peer_address(render_address(peer.peer_address));
        record.set_gossip_address(render_address(peer.gossip_address));
        record.set_started_ms(peer.started_ms);
    }
}

// Replaces what a peer had in flight by what it says now.
void take_target_uses(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    const auto add = [&core](std::uint32_t hash, std::int64_t count) {
        if (const target_ptr target = core.targets.find_by_hash(hash)) {
            const auto sum = static_cast<std::int64_t>(target->peers_in_flight) + count;
            target->peers_in_flight = static_cast<std::size_t>(std::max<std::int64_t>(0, sum));
        }
    };
    for (const auto& [hash, count] : peer.target_uses) {
        add(hash, -static_cast<std::int64_t>(count));
    }
    peer.target_uses.clear();
    for (const schema::TargetUse& use : gossip.target_uses()) {
        peer.target_uses[use.target()] = use.in_flight();
        add(use.target(), use.in_flight());
    }
}

// Charges what a peer has admitted since its last report.
void take_workspace_uses(node_core& core, peer_vm& peer, const schema::Gossip& gossip) {
    std::unordered_map<std::uint32_t, std::uint64_t> fresh;
    for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
        const auto before = peer.workspace_uses.find(use.workspace());
        const std::uint64_t known = before == peer.workspace_uses.end() ? 0 : before->second;
        peer.workspace_uses[use.workspace()] = std::max(known, use.admitted());
        if (use.admitted() > known) {
            fresh[use.workspace()] = use.admitted() - known;
        }
    }
    for (auto& [name, use] : core.workspaces) {
        const auto found = fresh.find(use.name_hash);
        if (found != fresh.end()) {
            note_taken(use.bucket, use.contract, static_cast<double>(found->second));
        }
    }
}

void take_crashes(node_core& core, const schema::Gossip& gossip) {
    for (const schema::CrashReport& report : gossip.crashes()) {
        note_death(core.crashes, report.request(), report.death(), now_of(core));
    }
}

// Returns whether more of some contract was used since the last report than VMs elsewhere should be unaware
// of.
bool is_report_urgent(const node_core& core,
                      const std::unordered_map<std::uint32_t, std::uint64_t>& reported) {
    // Part of the burst, divided by all VMs, that may be used unreported.
    constexpr double unreported_part = 0.2;
    const auto total = static_cast<double>(sharers_of(core).total);
    return std::any_of(core.workspaces.begin(), core.workspaces.end(), [&](const auto& entry) {
        const workspace_use& use = entry.second;
        const auto before = reported.find(use.name_hash);
        const std::uint64_t known = before == reported.end() ? 0 : before->second;
        return use.contract.rate > 0 &&
               static_cast<double>(use.admitted - known) * total > unreported_part * use.contract.burst;
    });
}

// Returns a VM's report as a hub passes it on: the uses that have grown since, or all.
schema::Gossip make_relayed(peer_vm& peer, bool is_near, bool whole) {
    schema::Gossip relayed;
    relayed.mutable_sender()->set_name(peer.name);
    relayed.mutable_sender()->set_started_ms(peer.started_ms);
    relayed.set_sequence(peer.sequence);
    relayed.set_accepting(peer.accepting);
    relayed.set_store_revision(peer.store_revision);
    // VMs of one region share its targets; loads elsewhere matter less than the bytes that telling them
    // takes.
    if (is_near) {
        for (const auto& [target, in_flight] : peer.target_uses) {
            schema::TargetUse& use = *relayed.add_target_uses();
            use.set_target(target);
            use.set_in_flight(in_flight);
        }
    }
    for (const auto& [workspace, admitted] : peer.workspace_uses) {
        std::uint64_t& told = peer.relayed_uses[workspace];
        if (whole || told != admitted) {
            schema::WorkspaceUse& use = *relayed.add_workspace_uses();
            use.set_workspace(workspace);
            use.set_admitted(admitted);
            told = admitted;
        }
    }
    return relayed;
}

std::set<std::string> far_hubs_of(const node_core& core) {
    std::set<std::string> regions;
    for (const auto& [zone, region] : core.settings.region_by_zone) {
        if (region != core.settings.region) {
            regions.insert(region);
        }
    }
    std::set<std::string> hubs;
    for (const std::string& region : regions) {
        for (const std::string& hub : hubs_of(core, region)) {
            hubs.insert(hub);
        }
    }
    return hubs;
}

} // namespace

schema::VmRecord make_vm_record(const node_core& core) {
    schema::VmRecord record;
    record.set_name(core.settings.vm);
    record.set_availability_zone(core.settings.availability_zone);
    record.set_region(core.settings.region);
    record.set_caller_address(render_address(core.settings.caller_address));
    record.set_peer_address(render_address(core.settings.peer_address));
    record.set_gossip_address(render_address(core.settings.gossip_address));
    record.set_started_ms(core.started_ms);
    return record;
}

schema::Gossip make_gossip(const node_core& core, std::uint64_t sequence) {
    schema::Gossip gossip;
    if (sequence % full_record_rounds < far_rounds) {
        *gossip.mutable_sender() = make_vm_record(core);
    } else {
        // The receivers know the rest from before.
        gossip.mutable_sender()->set_name(core.settings.vm);
        gossip.mutable_sender()->set_started_ms(core.started_ms);
    }
    gossip.set_sequence(sequence);
    gossip.set_accepting(is_accepting(core));
    gossip.set_store_revision(core.mirror.revision);
    for (const auto& [id, target] : core.targets.all()) {
        if (target->in_flight > 0) {
            schema::TargetUse& use = *gossip.add_target_uses();
            use.set_target(low_half(target->identity));
            use.set_in_flight(static_cast<std::uint32_t>(target->in_flight));
        }
    }
    for (const auto& [name, use] : core.workspaces) {
        schema::WorkspaceUse& told = *gossip.add_workspace_uses();
        told.set_workspace(use.name_hash);
        told.set_admitted(use.admitted);
    }
    const instant now = now_of(core);
    for (const auto& [report, until] : core.crash_reports) {
        if (now < until) {
            schema::CrashReport& told = *gossip.add_crashes();
            told.set_request(report.first);
            told.set_death(report.second);
        }
    }
    return gossip;
}

bool take_gossip(node_core& core, const std::string& datagram) {
    schema::Gossip gossip;
    return gossip.ParseFromString(datagram) && take_report(core, gossip);
}

bool take_report(node_core& core, const schema::Gossip& gossip) {
    if (gossip.sender().name() == core.settings.vm) {
        return false;
    }
    const instant now = now_of(core);
    for (const schema::Gossip& relayed : gossip.relayed()) {
        take_report(core, relayed);
    }
    for (const schema::VmRecord& other : gossip.others()) {
        if (other.name() != core.settings.vm) {
            note_record(core.peers, other, now);
        }
    }
    const auto known = core.peers.by_name.find(gossip.sender().name());
    if (known != core.peers.by_name.end() && known->second.started_ms < gossip.sender().started_ms()) {
        // The former incarnation's requests have ended with it.
        take_target_uses(core, known->second, {});
    }
    peer_vm* peer = nullptr;
    if (tells_addresses(gossip)) {
        peer = note_record(core.peers, gossip.sender(), now);
    } else if (known != core.peers.by_name.end() &&
               known->second.started_ms == gossip.sender().started_ms()) {
        peer = &known->second;
    }
    if (peer == nullptr || gossip.sequence() <= peer->sequence) {
        return false;
    }
    if (!is_heard(*peer, now)) {
        core.log.write(now, node_event::peer_changed,
                       log_fields().add("peer", peer->name).add("state", "heard"));
    }
    const bool is_first = !peer->heard;
    peer->heard = now;
    peer->sequence = gossip.sequence();
    peer->accepting = gossip.accepting();
    peer->store_revision = std::max(peer->store_revision, gossip.store_revision());
    take_target_uses(core, *peer, gossip);
    if (is_first) {
        // What a VM admitted before it was first heard is in no bucket of a VM that has just started.
        for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
            peer->workspace_uses[use.workspace()] = use.admitted();
        }
    }
    take_workspace_uses(core, *peer, gossip);
    take_crashes(core, gossip);
    ++core.metrics.gossip_received;
    return true;
}

void forget_silent_peers(node_core& core) {
    const instant now = now_of(core);
    for (auto& [name, peer] : core.peers.by_name) {
        if (!peer.target_uses.empty() && !is_heard(peer, now)) {
            take_target_uses(core, peer, {});
            core.log.write(now, node_event::peer_changed,
                           log_fields().add("peer", name).add("state", "silent"));
        }
    }
}

error_code gossip_socket::open() {
    error_code error;
    const udp::endpoint endpoint = udp_endpoint(this->core.settings.gossip_address);
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
    this->socket.send_to(asio::buffer(datagram), udp_endpoint(address), 0, error);
    if (!error) {
        ++this->core.metrics.gossip_sent;
    }
}

void gossip_socket::announce() {
    const std::string datagram = make_gossip(this->core, ++this->sequence).SerializeAsString();
    for (const auto& [name, peer] : this->core.peers.by_name) {
        this->send_to(peer.gossip_address, datagram);
    }
}

asio::awaitable<void> gossip_socket::send_loop() {
    for (std::uint64_t round = 0;; ++round) {
        if (has_hubs(this->core)) {
            this->send_by_hubs(round);
        } else {
            this->send_to_all(round);
        }
        co_await sleep_for(this->core.context, near_interval);
    }
}

void gossip_socket::send_to_all(std::uint64_t round) {
    schema::Gossip gossip = make_gossip(this->core, ++this->sequence);
    const std::string near = gossip.SerializeAsString();
    const bool is_far_round = round % far_rounds == 0 || is_report_urgent(this->core, this->reported_uses);
    if (is_far_round) {
        for (const schema::WorkspaceUse& use : gossip.workspace_uses()) {
            this->reported_uses[use.workspace()] = use.admitted();
        }
        if (tells_addresses(gossip)) {
            add_others(this->core, gossip, this->sequence);
        }
    }
    const std::string far = is_far_round ? gossip.SerializeAsString() : std::string();
    std::size_t heard = 0;
    for (const auto& [name, peer] : this->core.peers.by_name) {
        const bool is_near = peer.region == this->core.settings.region;
        heard += is_heard(peer, now_of(this->core)) ? 1 : 0;
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
    const schema::Gossip own = make_gossip(this->core, ++this->sequence);
    const std::string report = own.SerializeAsString();
    const std::vector<std::string> hubs = hubs_of(this->core, this->core.settings.region);
    for (const std::string& hub : hubs) {
        if (hub != this->core.settings.vm) {
            this->send_to(this->core.peers.by_name.at(hub).gossip_address, report);
        }
    }
    const bool is_first = !hubs.empty() && hubs.front() == this->core.settings.vm;
    if (round % far_rounds == 0 && (is_first || (round % standby_rounds == 0 && is_hub(this->core)))) {
        this->relay(own);
    }
}

void gossip_socket::relay(const schema::Gossip& own) {
    const std::set<std::string> far_hubs = far_hubs_of(this->core);
    const bool whole = own.sequence() % full_record_rounds < far_rounds;
    std::vector<std::string> region_reports{own.SerializeAsString()};
    std::vector<std::string> all_reports = region_reports;
    schema::Gossip region_part = own;
    schema::Gossip far_part = own;
    const auto flush = [](schema::Gossip& part, std::vector<std::string>& reports) {
        if (part.relayed_size() > 0) {
            reports.push_back(part.SerializeAsString());
            part.clear_relayed();
        }
    };
    for (auto& [name, peer] : this->core.peers.by_name) {
        if (!is_heard(peer, now_of(this->core))) {
            continue;
        }
        const bool is_near = peer.region == this->core.settings.region;
        schema::Gossip& part = is_near ? region_part : far_part;
        *part.add_relayed() = make_relayed(peer, is_near, whole);
        if (part.relayed_size() >= max_relayed) {
            if (is_near) {
                flush(region_part, region_reports);
            } else {
                flush(far_part, all_reports);
            }
        }
    }
    flush(region_part, region_reports);
    flush(far_part, all_reports);
    for (const auto& [name, peer] : this->core.peers.by_name) {
        const bool is_near = peer.region == this->core.settings.region;
        if (!is_near && far_hubs.count(name) == 0) {
            continue;
        }
        for (const std::string& datagram : region_reports) {
            this->send_to(peer.gossip_address, datagram);
        }
        for (std::size_t i = 1; is_near && i < all_reports.size(); ++i) {
            this->send_to(peer.gossip_address, all_reports[i]);
        }
    }
}

asio::awaitable<void> gossip_socket::receive_loop() {
    std::string datagram(max_datagram, '\0');
    for (;;) {
        udp::endpoint sender;
        error_code error;
        const std::size_t size =
            co_await this->socket.async_receive_from(asio::buffer(datagram), sender, into(error));
        if (!this->socket.is_open()) {
            co_return;
        }
        if (!error) {
            take_gossip(this->core, datagram.substr(0, size));
        }
    }
}

} // namespace cassiaspan
