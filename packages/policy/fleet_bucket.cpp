#include "fleet_bucket.h"

#include <algorithm>
#include <cmath>

namespace cassiaspan {

namespace {

// A copy owes at most this much of the burst: what VMs took together while they could not hear each other.
constexpr double max_debt_bursts = 2;
// Tokens are scarce below this part of the burst.
constexpr double scarce_part = 0.5;
// The rates of taking are averaged over about this time, longer than reports take.
constexpr std::chrono::duration<double> rate_time{1.0};
// A VM's part may grow by this factor while tokens are scarce, so that parts follow the demand.
constexpr double part_growth = 1.1;
// Tokens of its own part that a VM may save up.
constexpr std::chrono::duration<double> max_saved_pace{0.3};

// Returns the tokens per second that are this VM's part while tokens are scarce.
double own_part(const fleet_bucket& bucket, const bucket_contract& contract, const bucket_sharers& sharers) {
    const double taken = bucket.own_rate + bucket.others_rate;
    const double even = 1 / static_cast<double>(std::max<std::size_t>(sharers.total, 1));
    const double share = taken > 0 ? std::max(bucket.own_rate / taken, even / 2) : even;
    return contract.rate * std::min(1.0, share * part_growth);
}

double reporting_share(const bucket_sharers& sharers) {
    return static_cast<double>(std::max<std::size_t>(sharers.reporting, 1)) /
           static_cast<double>(std::max<std::size_t>(sharers.total, 1));
}

} // namespace

fleet_bucket make_fleet_bucket(const bucket_contract& contract, instant now) {
    const std::chrono::duration<double> time = initial_tokens_time;
    fleet_bucket made;
    made.tokens = std::min(contract.burst, contract.rate * time.count());
    made.refilled = now;
    made.pace_tokens = made.tokens;
    return made;
}

void refill(fleet_bucket& bucket, const bucket_contract& contract, const bucket_sharers& sharers,
            instant now) {
    const std::chrono::duration<double> passed = now - bucket.refilled;
    const double share = reporting_share(sharers);
    bucket.refilled = now;
    const double kept = std::exp(-passed / rate_time);
    bucket.own_rate *= kept;
    bucket.others_rate *= kept;
    const double part = own_part(bucket, contract, sharers);
    bucket.pace_tokens =
        std::min(std::max(1.0, part * max_saved_pace.count()), bucket.pace_tokens + part * passed.count());
    bucket.tokens = std::min(std::max(1.0, contract.burst * share),
                             bucket.tokens + contract.rate * share * passed.count());
}

bool has_token(fleet_bucket& bucket, const bucket_contract& contract, const bucket_sharers& sharers,
               instant now) {
    if (contract.rate <= 0) {
        return true;
    }
    refill(bucket, contract, sharers, now);
    const bool is_scarce = sharers.total > 1 && bucket.tokens < scarce_part * contract.burst;
    return bucket.tokens >= 1 && !(is_scarce && bucket.pace_tokens < 1);
}

bool take_token(fleet_bucket& bucket, const bucket_contract& contract, const bucket_sharers& sharers,
                instant now) {
    if (contract.rate <= 0) {
        return true;
    }
    if (!has_token(bucket, contract, sharers, now)) {
        return false;
    }
    bucket.tokens -= 1;
    bucket.pace_tokens = std::max(0.0, bucket.pace_tokens - 1);
    bucket.own_rate += 1 / rate_time.count();
    return true;
}

void note_taken(fleet_bucket& bucket, const bucket_contract& contract, double tokens) {
    bucket.others_rate += tokens / rate_time.count();
    bucket.tokens = std::max(bucket.tokens - tokens, -max_debt_bursts * std::max(1.0, contract.burst));
}

milliseconds time_to_token(const fleet_bucket& bucket, const bucket_contract& contract) {
    if (contract.rate <= 0 || bucket.tokens >= 1) {
        return milliseconds(0);
    }
    const std::chrono::duration<double> wait((1 - bucket.tokens) / contract.rate);
    return std::chrono::ceil<milliseconds>(wait);
}

} // namespace cassiaspan
