// Chooses the target of a request by expected latency and by cache affinity.
//
// Each affinity key orders all targets by rendezvous hashing (highest random weight; Thaler and Ravishankar,
// 1996); targets in the region that serves the key come first. The first target in this order is the key's
// primary target. It is assumed to be warm for the key, i.e. to hold the key's object in its cache, unless
// another target is known to be.
//
// Running a request on a cold target is slow and evicts other objects from that target's cache, which causes
// further cold runs under load. A request is therefore sent to a cold target only if waiting for a warm one
// takes longer than the cold run and the cold target has spare capacity. This keeps each key on few targets,
// even while a region is short of capacity.
//
// A VM of a large fleet sees too few requests of a key to know where it is warm, and the spills of many VMs
// can keep a service in a state in which all targets are busy with cold runs, though warm runs would leave
// most slots free. With `shared_homes`, the second target of the order is therefore assumed to be warm as
// well, which is true because all VMs assume it, and nothing is spilled elsewhere while the service is short
// of slots. If possible, it lies in another availability zone than the first one: each VM then uses the one
// in its own zone while neither is full, since bytes between zones are expensive.
//
// If targets report their current speed, all VMs see the same figures and would send to the same target until
// the next report. With `random`, the request is therefore placed on one of the targets that are nearly as
// good as the best one and equally warm: on the less loaded of two that are drawn at random (power of two
// choices; Mitzenmacher, 2001).
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cassiaspan {

// The state of one target, as seen by the choosing VM.
struct placement_candidate {
    // Hash of the target's identity; the same on all VMs.
    std::uint64_t identity = 0;
    // Estimated requests at the target, running or queued, from all VMs.
    double load = 0;
    // Requests that the target runs concurrently.
    double slots = 1;
    // Set if the request may not queue at the target: it is sent there only while fewer of the slots are
    // occupied than this.
    std::optional<double> usable_slots;
    // Service time to expect at this target now, relative to the service's average; 1 is average.
    double service_time_ratio = 1;
    // The part of service_time_ratio that is due to the current speed of the target's machine
    // (target_speed.h): 2 if its slots now take twice as long as usual to become free.
    double slowdown = 1;
    // Network round-trip time to the target.
    milliseconds round_trip{};
    // 0 in the region that serves the key, 1 in the choosing VM's region, 2 elsewhere.
    int region_rank = 0;
    // The target has recently served a request with the same key, so it is warm for the key.
    bool recently_used = false;
    // The target fails often or is slow; it ranks behind all targets that are not degraded.
    bool degraded = false;
    // The target joined recently: other targets are still warm for the keys that it is now primary for.
    bool recently_joined = false;
    // Hash of the name of the target's availability zone.
    std::uint64_t zone = 0;
    auto operator<=>(const placement_candidate&) const = default;
};

// The parameters of one placement decision.
struct placement_request {
    // Hash of the affinity key; nullopt if the route has no affinity.
    std::optional<std::uint64_t> key;
    // Average service time of a request on a warm and on a cold target.
    milliseconds warm_service_time{};
    milliseconds cold_service_time{};
    // Treats the primary target as warm even if another target is known to be warm. Set for a sample of the
    // requests, so that a target that joined receives the keys it is primary for.
    bool assume_primary_warm = false;
    // Like assume_primary_warm, but only if the primary target joined recently.
    bool assume_joined_primary_warm = false;
    // Longest expected latency, from now, for which the request is queued at a target without a free slot.
    milliseconds max_latency{};
    // Assumes the key's first two targets warm, and does not spill while the service is short of slots. For
    // VMs that see too few requests of each key to know which targets are warm.
    bool shared_homes = false;
    // With shared_homes, assumes only the first target warm: the region that serves the key has so few
    // targets that they cannot keep two copies of all keys.
    bool single_home = false;
    // Hash of the name of the choosing VM's availability zone. Used only with `shared_homes`.
    std::uint64_t own_zone = 0;
    // Accepts no run on a cold target that takes longer than max_latency, where a run on a warm one would
    // not: its slot time is missing for several runs in time. For services that are short of slots.
    bool refuse_late_cold_runs = false;
    // Random number. If set, targets that are nearly as good as the best one share the requests, and with
    // shared_homes both homes count as warm even if a target is known to be. Set if targets report their
    // speed.
    std::optional<std::uint64_t> random;
    auto operator<=>(const placement_request&) const = default;
};

// Why a target was chosen.
enum class placement_reason {
    // It is the first in the key's order, or has the lowest cost for a request without a key.
    primary,
    // It is the key's second home, with `shared_homes`.
    secondary,
    // It has recently served the key.
    known_warm,
    // The warm targets are full, so a cold target takes the request.
    spill
};

// Returns the name of the reason for the log.
[[nodiscard]] const char* to_string(placement_reason reason);

// The result of a placement decision.
struct placement {
    // Index of the chosen candidate; nullopt if no candidate is acceptable.
    std::optional<std::size_t> index;
    // Expected latency at the best candidate, also if that candidate was not acceptable.
    milliseconds expected_latency{};
    placement_reason reason = placement_reason::primary;
    auto operator<=>(const placement&) const = default;
};

// Chooses the candidate with the lowest cost, or with `random` one that is nearly as good; candidates without
// a usable slot come last if the request may not queue, and then degraded ones. Time and memory are linear in
// the number of candidates. Returns no index if there are no candidates, or if the best one has no free slot
// and its expected latency exceeds max_latency, or the request may not queue there.
[[nodiscard]] placement place_request(const std::vector<placement_candidate>& candidates,
                                      const placement_request& request);

} // namespace cassiaspan
