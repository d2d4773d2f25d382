// Chooses the target of a request: the less loaded of two random targets (power of two choices), those of the
// VM's own region first. Also ejects targets after consecutive failures (outlier ejection).
#pragma once

#include "clock.h"
#include "config_snapshot.h"

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cassiaspan {

// Random number generator for load balancing decisions. The caller seeds it.
using random_engine = std::mt19937_64;

// Number of consecutive failures after which a target is ejected.
constexpr int ejection_failure_threshold = 3;
// How long an ejected target gets no requests.
constexpr milliseconds ejection_duration{5000};
// At most 1/3 of a service's targets are ejected at the same time, but at least one may be.
constexpr std::size_t max_ejected_divisor = 3;
// Slow start: the usable slots of a new target grow over this time.
constexpr milliseconds slow_start_duration{10'000};
// Load reports of other VMs that are older than this are ignored.
constexpr milliseconds load_report_lifetime{3000};

// What one VM knows of one target.
struct target_state {
    // Requests of this VM in flight at the target.
    std::size_t in_flight = 0;
    // Requests of other VMs in flight, as last reported by them.
    std::size_t peers_in_flight = 0;
    instant peers_reported_at;
    int consecutive_failures = 0;
    std::optional<instant> ejected_until;
    // Start of the slow-start period: when the target was added, or when its last ejection ends.
    instant slow_start_from;
};

// Region and availability zone of a VM or caller.
struct location {
    std::string region;
    std::string availability_zone;
    auto operator<=>(const location&) const = default;
};

// Inputs of the choice of a target.
struct target_choice_input {
    const service_config& service;
    // One entry for each target of the service, in the same order.
    const std::vector<target_state>& states;
    // Location of the VM that chooses.
    const location& vm_location;
    instant now;
    std::chrono::system_clock::time_point wall_now;
    // Indices of the targets that this request has already tried.
    const std::vector<std::size_t>& tried;
};

// Why no target could be chosen: every target is draining, ejected or already tried, or all others are full.
enum class no_target_reason { none_available, all_busy };

// Index of the chosen target in the service's list, or the reason why there is none.
struct target_choice {
    std::optional<std::size_t> index;
    no_target_reason reason = no_target_reason::none_available;
};

// Chooses a target with a free slot: from the VM's own region if one has a free slot there, or else from any
// other region.
[[nodiscard]] target_choice choose_target(const target_choice_input& input, random_engine& random);

// Returns the estimated load of a target in requests: those of this VM, plus those reported by other VMs with
// a weight that falls linearly to 0 as the report reaches load_report_lifetime.
[[nodiscard]] double estimate_load(const target_state& state, instant now);

// Returns whether a configured drain of the target has started.
[[nodiscard]] bool is_draining(const target_config& target, std::chrono::system_clock::time_point wall_now);

// Records the outcome of a request to the target states[index]. Ejects the target after
// ejection_failure_threshold consecutive failures, unless too many targets are ejected already. Returns
// whether it ejected the target.
bool record_outcome(std::vector<target_state>& states, std::size_t index, bool success, instant now);

} // namespace cassiaspan
