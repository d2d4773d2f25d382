// Settings of one VM, decoded from the platform's settings file.
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

// The settings. Most do not change while the process runs; see apply_reloaded_settings().
struct node_settings {
    // Name of this VM, unique in the deployment.
    std::string vm;
    std::string availability_zone;
    std::string region;
    // Region of every availability zone of the deployment.
    std::map<std::string, std::string> region_by_zone;

    // Listen addresses for callers, readiness checks and lookups.
    socket_address caller_address;
    socket_address readiness_address;
    socket_address directory_address;
    // Listen addresses for other VMs: TCP streams and UDP datagrams.
    socket_address peer_address;
    socket_address gossip_address;
    // Peer addresses of a few VMs that may be running; used to join the fleet.
    std::vector<socket_address> seeds;

    socket_address store_address;
    // Shortest lease TTL that the store accepts.
    milliseconds min_lease_ttl{1000};
    // Interval at which live targets write their discovery entries.
    milliseconds target_heartbeat{1500};

    // How long a target serves new requests after it has announced that it is leaving.
    milliseconds target_drain_time{2500};

    // Whether requests are admitted by class where routes of different priority share a service
    // (class_admission.h).
    bool admits_by_class = false;
    // Retry budget of each service.
    retry_budget_limits retries;
    // Limits how fast requests move between regions.
    region_shift_limits shift_limits;
    // Time between SIGTERM and SIGKILL.
    milliseconds stop_grace{6000};
    // Maximum time for which callers may cache a lookup reply.
    milliseconds max_lookup_ttl{5000};
    // Bandwidth of the VM's link in Mbit/s; 0 if the platform does not provide it.
    std::uint32_t link_mbps = 0;
    // CPU share of the VM in thousandths of a core; 0 if the platform does not provide it.
    std::uint32_t cpu_millicores = 0;
    // Memory that the process may use, bytes, with what the kernel has received for it; 0 if the platform
    // states no limit, see choose_memory_limit().
    std::size_t memory_bytes = 0;
    // Maximum number of open file descriptors of the process.
    std::size_t max_open_files = 1024;
    // Listen address for requests of other VMs that cannot reach the targets; port 0 disables the listener.
    socket_address relay_address;
    // Listen address for metrics; port 0 disables the listener.
    socket_address metrics_address;
    auto operator<=>(const node_settings&) const = default;
};

// Takes over the settings that can change while the process runs: seeds, retry budget, shift limits, stop
// grace period, lookup TTL, target heartbeat and drain time, link bandwidth, CPU share and the limits of
// memory and open files. Returns whether `loaded` has other changes, which need a restart.
bool apply_reloaded_settings(node_settings& settings, const node_settings& loaded);

} // namespace cassiaspan
