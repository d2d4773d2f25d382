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
    void send_to_all(std::uint64_t round);
    void send_by_hubs(std::uint64_t round);
    void send_to_seeds(const std::string& datagram);
    // Passes on what was reported, to the own region's VMs and to the other regions' hubs.
    void relay(const schema::Gossip& own);
    void send_to(const socket_address& address, const std::string& datagram);

    node_core& core;
    udp::socket socket;
    std::uint64_t sequence = 0;
    // What VMs of other regions were last told of the use of contracts.
    std::unordered_map<std::uint32_t, std::uint64_t> reported_uses;
};

// Returns this VM's own record.
[[nodiscard]] schema::VmRecord make_vm_record(const node_core& core);

// Returns the datagram that tells the VM's state.
[[nodiscard]] schema::Gossip make_gossip(const node_core& core, std::uint64_t sequence);

// Takes in a datagram. Returns false when it is old, the VM's own or unreadable.
bool take_gossip(node_core& core, const std::string& datagram);

// Takes in one report and those that it relays. Returns false when the sender's is old or the VM's own.
bool take_report(node_core& core, const schema::Gossip& gossip);

// Forgets what VMs had in flight that have been silent for too long.
void forget_silent_peers(node_core& core);

} // namespace cassiaspan
