// Gossip between VMs over UDP: target loads, token bucket use, crash reports, membership and the revision of
// the store mirror. VMs of the same region receive it more often than those of other regions. Because
// datagrams may be lost, each VM's own report carries its complete state, and hubs forward unchanged counters
// again from time to time.
#pragma once

#include "node_core.h"

#include <functional>

namespace cassiaspan {

// Sends and receives the VM's gossip datagrams.
class gossip_socket {
public:
    explicit gossip_socket(node_core& core_in) : core(core_in), socket(core_in.context) {}

    // Binds the socket to the gossip address of the settings. Returns the error if that fails.
    [[nodiscard]] error_code open();
    // Sends reports in rounds of 100 ms. Never returns.
    asio::awaitable<void> send_loop();
    // Processes received datagrams until the socket is closed.
    asio::awaitable<void> receive_loop();
    // Sends a report to all peers immediately; used when a planned stop begins.
    void announce();

private:
    // Returns this VM's report with the next sequence number.
    schema::Gossip next_report();
    // Sends this round's reports in a small fleet: directly to all peers.
    void send_full_mesh(std::uint64_t round_number);
    // Sends this round's reports in a large fleet: to the hubs of the own zone; a hub also forwards reports.
    void send_via_hubs(std::uint64_t round_number);
    // Sends a datagram to the seed addresses of the settings.
    void send_to_seeds(const std::string& datagram);
    // As a hub, forwards the reports of the own zone to the hubs of the region's other zones and, if
    // `to_other_regions`, to those of other regions. With `with_sums`, the first hubs of other regions
    // receive the in-flight counts of the zone.
    void forward_to_other_zones(const schema::Gossip& own, bool to_other_regions, bool with_sums);
    // As a hub, forwards the reports of all VMs to the VMs of the own zone; with `with_sums`, also the
    // in-flight counts of other regions.
    void forward_within_zone(const schema::Gossip& own, bool with_sums);
    // Sends one datagram; send errors are ignored.
    void send_to(const socket_address& address, const std::string& datagram);

    node_core& core;
    udp::socket socket;
    std::uint64_t sequence = 0;
    // Admitted requests per workspace hash as last reported to other regions.
    std::unordered_map<std::uint32_t, std::uint64_t> reported_admissions;
};

} // namespace cassiaspan
