// Chooses the target of a request: the less loaded of two random ones, near ones first.
#pragma once

#include "clock.h"
#include "config_snapshot.h"

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cassiaspan {

// Source of the random numbers that decisions use. Seeded by the caller.
using random_engine = std::mt19937_64;

// Failures in a row after which a target is ejected.
constexpr int ejection_failure_threshold = 3;
constexpr milliseconds ejection_duration{5000};
// At most one part in this many of a service's targets is ejected at a time, but one may always be.
constexpr std::size_t max_ejected_divisor = 3;
// A target that has just joined takes its full part only after this time.
constexpr milliseconds slow_start_duration{10'000};
// Reports older than this count for nothing.
constexpr milliseconds load_report_lifetime{3000};

// What one VM knows of one target.
struct target_state {
    // Requests that this VM has in flight there, and that other VMs last reported.
    std::size_t in_flight = 0;
    std::size_t peers_in_flight = 0;
    instant peers_reported_at;
    int consecutive_failures = 0;
    std::optional<instant> ejected_until;
    instant slow_start_from;
};

// Where the choosing VM is.
struct location {
    std::string region;
    std::string availability_zone;
    auto operator<=>(const location&) const = default;
};

// Everything a choice depends on.
struct target_choice_input {
    const service_config& service;
    // One entry for each target of the service, in its order.
    const std::vector<target_state>& states;
    const location& vm_location;
    instant now;
    std::chrono::system_clock::time_point wall_now;
    // Targets that this request has tried already, by index.
    const std::vector<std::size_t>& tried;
};

// Why no target could be chosen.
enum class no_target_reason { none_available, all_busy };

// What was found: an index into the service's targets, or the reason why there is none.
struct target_choice {
    std::optional<std::size_t> index;
    no_target_reason reason = no_target_reason::none_available;
};

// Chooses a target with a free slot: in the own region while one has room, then in any other region that is
// known to have room.
[[nodiscard]] target_choice choose_target(const target_choice_input& input, random_engine& random);

// Returns the load of a target: own requests plus what others reported, discounted by its age.
[[nodiscard]] double estimate_load(const target_state& state, instant now);

// Returns whether a planned drain has begun for the target.
[[nodiscard]] bool is_draining(const target_config& target, std::chrono::system_clock::time_point wall_now);

// Notes how a request at states[index] ended. Ejects the target after repeated failures, within the ceiling;
// returns whether it did.
bool record_outcome(std::vector<target_state>& states, std::size_t index, bool success, instant now);

} // namespace cassiaspan
