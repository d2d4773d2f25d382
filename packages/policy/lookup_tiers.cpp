#include "lookup_tiers.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace cassiaspan {

namespace {

// Fraction of a VM's cores and link that requests may use: beyond about half, requests wait for each other on
// a single-threaded VM, and responses on its link.
constexpr double usable_fraction = 0.4;
// The listed VMs must be able to serve this many times the demand: callers choose at random, and demand grows
// within the time for which they cache a lookup.
constexpr double demand_headroom = 2;
// Fewest VMs of a region and of an availability zone, so that the end of a VM or a zone leaves some listed.
constexpr std::size_t min_vms_per_region = 4;
constexpr std::size_t min_vms_per_zone = 2;
// A VM with at least this fraction of another one's capacity counts as about equal.
constexpr double about_equal = 0.75;
// Part of its capacity that a busy VM counts with.
constexpr double busy_fraction = 0.5;

// The process has a single thread.
constexpr std::uint32_t max_usable_millicores = 1000;

constexpr double bits_per_byte = 8;
constexpr double bits_per_megabit = 1e6;

// Returns the capacities of the candidates; nullopt if any is unknown.
std::optional<std::vector<double>> compute_capacities(const std::vector<lookup_candidate>& candidates,
                                                      const request_cost& cost) {
    std::vector<double> capacities;
    capacities.reserve(candidates.size());
    for (const lookup_candidate& candidate : candidates) {
        const std::optional<double> capacity = lookup_capacity(candidate, cost);
        if (!capacity) {
            return std::nullopt;
        }
        capacities.push_back(*capacity);
    }
    return capacities;
}

// Returns how many of `order`, the candidates by descending capacity, serve the demand.
std::size_t count_needed_vms(const std::vector<lookup_candidate>& candidates,
                             const std::vector<double>& capacities, const std::vector<std::size_t>& order,
                             double demand) {
    double sum = 0;
    std::size_t count = 0;
    while (count < order.size() && (count < min_vms_per_region || sum < demand_headroom * demand)) {
        const std::size_t index = order[count];
        sum += capacities[index] * (candidates[index].is_busy ? busy_fraction : 1);
        ++count;
    }
    return count;
}

// Returns the smallest capacity at which each availability zone has its fewest VMs.
double smallest_capacity_for_zones(const std::vector<lookup_candidate>& candidates,
                                   const std::vector<double>& capacities,
                                   const std::vector<std::size_t>& order) {
    std::map<std::uint64_t, std::size_t> count_by_zone;
    double smallest = capacities[order.front()];
    for (const std::size_t index : order) {
        if (++count_by_zone[candidates[index].zone] <= min_vms_per_zone) {
            smallest = capacities[index];
        }
    }
    return smallest;
}

// Returns when the VM was last wanted; nullopt if `previous` does not list it.
std::optional<instant> find_last_wanted(const lookup_choice& previous, std::uint64_t id) {
    const auto found =
        std::lower_bound(previous.wanted.begin(), previous.wanted.end(), id,
                         [](const wanted_vm& each, std::uint64_t value) { return each.id < value; });
    return found != previous.wanted.end() && found->id == id ? std::optional(found->last_wanted)
                                                             : std::nullopt;
}

} // namespace

std::optional<double> lookup_capacity(const lookup_candidate& candidate, const request_cost& cost) {
    // A core has as many CPU milliseconds per second as thousandths.
    const double by_cpu =
        usable_fraction * std::min(candidate.cpu_millicores, max_usable_millicores) / cost.cpu_ms;
    const double by_link =
        usable_fraction * candidate.link_mbps * bits_per_megabit / bits_per_byte / cost.bytes;
    if (candidate.cpu_millicores == 0) {
        return candidate.link_mbps == 0 ? std::nullopt : std::optional(by_link);
    }
    return candidate.link_mbps == 0 ? by_cpu : std::min(by_cpu, by_link);
}

lookup_choice choose_listed_vms(const std::vector<lookup_candidate>& candidates, double demand,
                                const request_cost& cost, const lookup_choice& previous, instant now) {
    lookup_choice choice;
    if (candidates.empty()) {
        return choice;
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::optional<std::vector<double>> capacities = compute_capacities(candidates, cost);
    double smallest_wanted = 0;
    if (capacities) {
        std::stable_sort(order.begin(), order.end(), [&capacities](std::size_t left, std::size_t right) {
            return (*capacities)[left] > (*capacities)[right];
        });
        const std::size_t needed = count_needed_vms(candidates, *capacities, order, demand);
        smallest_wanted = about_equal * std::min((*capacities)[order[needed - 1]],
                                                 smallest_capacity_for_zones(candidates, *capacities, order));
    }
    for (const std::size_t index : order) {
        const std::uint64_t id = candidates[index].id;
        const bool is_wanted = !capacities || (*capacities)[index] >= smallest_wanted;
        const std::optional<instant> last_wanted = is_wanted ? now : find_last_wanted(previous, id);
        if (last_wanted && now - *last_wanted < lookup_shrink_delay) {
            choice.listed.push_back(index);
            choice.wanted.push_back({id, *last_wanted});
            choice.capacity +=
                capacities ? (*capacities)[index] * (candidates[index].is_busy ? busy_fraction : 1) : 0;
        }
    }
    std::sort(choice.wanted.begin(), choice.wanted.end());
    return choice;
}

} // namespace cassiaspan
