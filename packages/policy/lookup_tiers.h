// Chooses which VMs of a region a lookup lists: those with the most capacity, as many as the region's demand
// needs with ample room. Callers choose among the listed VMs at random, so requests concentrate on the large
// VMs, whose pooled connections to targets stay in use, instead of spreading over many small ones with slow
// links. Listed VMs of about the same capacity are never separated: a fleet of equal VMs is listed
// completely.
//
// A choice costs O(n log n) for n VMs of the region, so it is kept for a short time
// (`lookup_choice_lifetime`) instead of being made for each lookup.
#pragma once

#include "clock.h"
#include "request_cost.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// For how long a choice may be used: no longer than the interval in which the VMs' reports change what it
// depends on by much.
constexpr milliseconds lookup_choice_lifetime{200};
// A VM stays listed for this time after the rule last wanted it, because callers close connections to VMs
// that are no longer listed.
constexpr milliseconds lookup_shrink_delay{10'000};

// A VM of the region that is alive and accepts requests.
struct lookup_candidate {
    // Hash of the VM's name, and of its availability zone's name.
    std::uint64_t id = 0;
    std::uint64_t zone = 0;
    // Thousandths of a core, and Mbit/s of the link; 0 if unknown.
    std::uint32_t cpu_millicores = 0;
    std::uint32_t link_mbps = 0;
    // The VM's event loop was delayed within the last second.
    bool is_busy = false;
    auto operator<=>(const lookup_candidate&) const = default;
};

// When the rule last wanted a VM.
struct wanted_vm {
    std::uint64_t id = 0;
    instant last_wanted;
    auto operator<=>(const wanted_vm&) const = default;
};

// The VMs to list.
struct lookup_choice {
    // Indices of the candidates, largest first, and equal ones in their order.
    std::vector<std::size_t> listed;
    // The listed VMs by ascending id, for the next choice.
    std::vector<wanted_vm> wanted;
    // Requests per second that the listed VMs can serve; busy VMs count half. 0 if a capacity is unknown.
    double capacity = 0;
    auto operator<=>(const lookup_choice&) const = default;
};

// Returns the requests per second that the VM serves at 40 % of its cores or of its link, whichever is less.
// Only one of them counts if the other is unknown; nullopt if both are.
[[nodiscard]] std::optional<double> lookup_capacity(const lookup_candidate& candidate,
                                                    const request_cost& cost);

// Returns the VMs to list for the region's demand in requests per second. From the largest down, takes VMs
// until they can serve twice the demand, the region has four and each availability zone two, as far as there
// are that many, and all VMs whose capacity is at least three quarters of the smallest one taken. VMs that
// `previous` lists are kept for `lookup_shrink_delay` after they were last wanted. Lists all VMs if the
// capacity of any is unknown.
[[nodiscard]] lookup_choice choose_listed_vms(const std::vector<lookup_candidate>& candidates, double demand,
                                              const request_cost& cost, const lookup_choice& previous,
                                              instant now);

} // namespace cassiaspan
