// A workspace's token bucket, replicated on every VM. Each VM subtracts its own tokens immediately and those
// of the other VMs when their reports arrive, so that the fleet as a whole stays within rate and burst.
// Tokens that were overspent while reports were in transit are a debt, which is repaid before more tokens are
// granted. While tokens are scarce, each VM is also limited to its share of the rate; otherwise all VMs would
// take the same token before they receive each other's reports.
#pragma once

#include "clock.h"

#include <compare>
#include <cstddef>

namespace cassiaspan {

// Rate and burst of one workspace over all VMs.
struct bucket_limits {
    // Tokens per second; 0 means unlimited.
    double rate = 0;
    // Capacity of the bucket in tokens.
    double burst = 0;
    auto operator<=>(const bucket_limits&) const = default;
};

// The number of VMs that share the bucket, and how many of them recently reported the tokens they took.
struct bucket_replicas {
    // VMs of the fleet, including this one.
    std::size_t total = 1;
    std::size_t reporting = 1;
    auto operator<=>(const bucket_replicas&) const = default;
};

// One VM's replica of the bucket.
struct fleet_token_bucket {
    double tokens = 0;
    instant refilled_at;
    // Moving averages of the tokens per second taken by this VM and by the others.
    double local_rate = 0;
    double remote_rate = 0;
    // Tokens of this VM's own share of the rate; they limit it only while tokens are scarce.
    double local_tokens = 0;
    auto operator<=>(const fleet_token_bucket&) const = default;
};

// A VM that just started does not know how many tokens were taken before, so its replica starts with the
// tokens of this much time instead of a full burst.
constexpr milliseconds initial_fill_time{500};

// Returns the initial replica of a VM that just started or just learned of the workspace.
[[nodiscard]] fleet_token_bucket make_fleet_token_bucket(const bucket_limits& limits, instant now);

// Adds the tokens accrued since the last call. Only the share of the VMs that report is added; the share of
// the others is left to them.
void refill(fleet_token_bucket& bucket, const bucket_limits& limits, const bucket_replicas& replicas,
            instant now);

// Refills the bucket and returns whether a token can be taken now.
[[nodiscard]] bool has_token(fleet_token_bucket& bucket, const bucket_limits& limits,
                             const bucket_replicas& replicas, instant now);

// Takes a token if there is one. Returns whether it did; always true if the rate is unlimited.
[[nodiscard]] bool take_token(fleet_token_bucket& bucket, const bucket_limits& limits,
                              const bucket_replicas& replicas, instant now);

// Subtracts tokens that another VM reported as taken.
void record_remote_tokens(fleet_token_bucket& bucket, const bucket_limits& limits, double tokens);

// Returns the time until the next token is available at the full rate, rounded up; 0 if there is one now.
[[nodiscard]] milliseconds time_to_token(const fleet_token_bucket& bucket, const bucket_limits& limits);

} // namespace cassiaspan
