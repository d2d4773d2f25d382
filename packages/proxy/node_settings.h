// The settings of one VM, as its platform gives them.
#pragma once

#include "address.h"
#include "clock.h"
#include "region_shift_limiter.h"
#include "retry_budget.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace cassiaspan {

struct node_settings {
    std::string vm;
    std::string availability_zone;
    std::string region;
    // Region of every availability zone of the deployment.
    std::map<std::string, std::string> region_by_zone;

    // Where callers, readiness checks and look-ups arrive.
    socket_address caller_address;
    socket_address readiness_address;
    socket_address directory_address;
    // Where other VMs arrive: streams, and datagrams.
    socket_address peer_address;
    socket_address gossip_address;
    // Peer addresses of a few VMs that may be up.
    std::vector<socket_address> seeds;

    socket_address store_address;
    milliseconds min_lease_ttl{1000};

    retry_budget_limits retries;
    // How fast requests may move between regions.
    region_shift_limits shift_limits;
    // Time between SIGTERM and SIGKILL.
    milliseconds stop_grace{6000};
    // Longest time that a look-up may be cached.
    seconds max_lookup_ttl{5};
    // Bandwidth of the VM's link, Mbit/s; 0 where the platform does not tell it.
    std::uint32_t link_mbps = 0;
    // How many open files the process may have.
    std::size_t max_open_files = 1024;
    // Metrics listener; port 0 means none.
    socket_address metrics_address;
    auto operator<=>(const node_settings&) const = default;
};

} // namespace cassiaspan
