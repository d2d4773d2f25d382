// A workspace's token bucket, replicated on every VM. Each VM takes its own tokens at once and those that
// other VMs took as soon as they report them, so that the fleet as a whole stays within rate and burst; what
// was taken beyond, while reports were on their way, is paid back before more is given. While tokens are
// scarce, a VM also keeps to its part of the rate: otherwise all VMs would take the same token before they
// hear of each other.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// Rate and burst of one workspace over all VMs.
struct bucket_limits {
    // Tokens per second; 0 means unlimited.
    double rate = 0;
    double burst = 0;
    auto operator<=>(const bucket_limits&) const = default;
};

// How many VMs share the bucket, and how many of them have lately reported what they took.
struct bucket_replicas {
    // VMs of the fleet, this one included.
    std::size_t total = 1;
    std::size_t reporting = 1;
    auto operator<=>(const bucket_replicas&) const = default;
};

// One VM's copy of the bucket.
struct fleet_token_bucket {
    double tokens = 0;
    instant refilled_at;
    // Tokens per second that this VM and the others took lately.
    double local_rate = 0;
    double remote_rate = 0;
    // Tokens within this VM's own part of the rate.
    double local_tokens = 0;
    auto operator<=>(const fleet_token_bucket&) const = default;
};

// A VM that has just started cannot know what was taken before: its copy starts with this much of the rate.
constexpr milliseconds initial_fill_time{500};

// Returns the copy of a VM that has just started, or that learns of the workspace.
[[nodiscard]] fleet_token_bucket make_fleet_token_bucket(const bucket_limits& limits, instant now);

// Adds what has flowed in since the last call. The part of the VMs that do not report is left to them.
void refill(fleet_token_bucket& bucket, const bucket_limits& limits, const bucket_replicas& replicas,
            instant now);

// Returns whether a token could be taken now.
[[nodiscard]] bool has_token(fleet_token_bucket& bucket, const bucket_limits& limits,
                             const bucket_replicas& replicas, instant now);

// Takes a token, if there is one.
[[nodiscard]] bool take_token(fleet_token_bucket& bucket, const bucket_limits& limits,
                              const bucket_replicas& replicas, instant now);

// Notes tokens that another VM took.
void record_remote_tokens(fleet_token_bucket& bucket, const bucket_limits& limits, double tokens);

// Returns the time until the next token is there.
[[nodiscard]] milliseconds time_to_token(const fleet_token_bucket& bucket, const bucket_limits& limits);

} // namespace cassiaspan
