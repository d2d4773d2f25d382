// Datagrams between VMs: loads at targets, use of contracts, crashes, who is there and how new the store's
// copy is. VMs of the own region hear often, others less so. Datagrams may be lost: each carries the whole
// state.
#pragma once

#include "node_core.h"

#include <functional>

namespace cassiaspan {

// The socket of the VM's datagrams.
class gossip_socket {
public:
    explicit gossip_socket(node_core& core_in) : core(core_in), socket(core_in.context) {}

    // Binds the socket, or says why not.
    [[nodiscard]] error_code open();
    // Sends to all VMs whose turn it is, until the VM ends.
    asio::awaitable<void> send_loop();
    // Takes in datagrams until the VM ends.
    asio::awaitable<void> receive_loop();
    // Sends to all VMs at once, as when the VM begins to stop.
    void announce();

private:
    schema::Gossip next_report();
    void send_full_mesh(std::uint64_t round_number);
    void send_via_hubs(std::uint64_t round_number);
    void send_to_seeds(const std::string& datagram);
    // As a hub, passes the own zone's reports on to the hubs of the region's other zones, and of other
    // regions.
    void forward_to_other_zones(const schema::Gossip& own, bool to_other_regions);
    // As a hub, passes all VMs' reports on to the VMs of the own zone.
    void forward_within_zone(const schema::Gossip& own);
    void send_to(const socket_address& address, const std::string& datagram);

    node_core& core;
    udp::socket socket;
    std::uint64_t sequence = 0;
    // What VMs of other regions were last told of the use of contracts.
    std::unordered_map<std::uint32_t, std::uint64_t> reported_admissions;
};

} // namespace cassiaspan
