#include "fleet_token_bucket.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// A copy owes at most this much of the burst: what VMs took together while they could not hear each other.
constexpr double max_debt_bursts = 2;
// Tokens are scarce below this part of the burst.
constexpr double scarcity_threshold = 0.5;
// The rates of taking are averaged over about this time, longer than reports take.
constexpr std::chrono::duration<double> rate_averaging_time{1.0};
// A VM's part may grow by this factor while tokens are scarce, so that parts follow the demand.
constexpr double share_growth = 1.1;
// Tokens of its own part that a VM may save up.
constexpr std::chrono::duration<double> max_local_burst_time{0.3};

// Returns the tokens per second that are this VM's part while tokens are scarce.
double local_refill_rate(const fleet_token_bucket& bucket, const bucket_limits& limits,
                         const bucket_replicas& replicas) {
    const double total_rate = bucket.local_rate + bucket.remote_rate;
    const double even_share = 1 / static_cast<double>(std::max<std::size_t>(replicas.total, 1));
    const double share =
        total_rate > 0 ? std::max(bucket.local_rate / total_rate, even_share / 2) : even_share;
    return limits.rate * std::min(1.0, share * share_growth);
}

double reporting_share(const bucket_replicas& replicas) {
    return static_cast<double>(std::max<std::size_t>(replicas.reporting, 1)) /
           static_cast<double>(std::max<std::size_t>(replicas.total, 1));
}

} // namespace

fleet_token_bucket make_fleet_token_bucket(const bucket_limits& limits, instant now) {
    const std::chrono::duration<double> fill_time = initial_fill_time;
    fleet_token_bucket bucket;
    bucket.tokens = std::min(limits.burst, limits.rate * fill_time.count());
    bucket.refilled_at = now;
    bucket.local_tokens = bucket.tokens;
    return bucket;
}

void refill(fleet_token_bucket& bucket, const bucket_limits& limits, const bucket_replicas& replicas,
            instant now) {
    const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
    const double share = reporting_share(replicas);
    bucket.refilled_at = now;
    const double decay = std::exp(-elapsed / rate_averaging_time);
    bucket.local_rate *= decay;
    bucket.remote_rate *= decay;
    const double refill_rate = local_refill_rate(bucket, limits, replicas);
    bucket.local_tokens = std::min(std::max(1.0, refill_rate * max_local_burst_time.count()),
                                   bucket.local_tokens + refill_rate * elapsed.count());
    bucket.tokens =
        std::min(std::max(1.0, limits.burst * share), bucket.tokens + limits.rate * share * elapsed.count());
}

bool has_token(fleet_token_bucket& bucket, const bucket_limits& limits, const bucket_replicas& replicas,
               instant now) {
    if (limits.rate <= 0) {
        return true;
    }
    refill(bucket, limits, replicas, now);
    const bool is_scarce = replicas.total > 1 && bucket.tokens < scarcity_threshold * limits.burst;
    return bucket.tokens >= 1 && !(is_scarce && bucket.local_tokens < 1);
}

bool take_token(fleet_token_bucket& bucket, const bucket_limits& limits, const bucket_replicas& replicas,
                instant now) {
    if (limits.rate <= 0) {
        return true;
    }
    if (!has_token(bucket, limits, replicas, now)) {
        return false;
    }
    bucket.tokens -= 1;
    bucket.local_tokens = std::max(0.0, bucket.local_tokens - 1);
    bucket.local_rate += 1 / rate_averaging_time.count();
    return true;
}

void record_remote_tokens(fleet_token_bucket& bucket, const bucket_limits& limits, double tokens) {
    bucket.remote_rate += tokens / rate_averaging_time.count();
    bucket.tokens = std::max(bucket.tokens - tokens, -max_debt_bursts * std::max(1.0, limits.burst));
}

milliseconds time_to_token(const fleet_token_bucket& bucket, const bucket_limits& limits) {
    if (limits.rate <= 0 || bucket.tokens >= 1) {
        return milliseconds(0);
    }
    const std::chrono::duration<double> wait((1 - bucket.tokens) / limits.rate);
    return std::chrono::ceil<milliseconds>(wait);
}

} // namespace cassiaspan
