#include "fleet_bucket.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// A copy owes at most this much of the burst: what VMs took together while they could not hear each other.
constexpr double max_debt_bursts = 2;

double reporting_share(const bucket_sharers& sharers) {
    return static_cast<double>(std::max<std::size_t>(sharers.reporting, 1)) /
           static_cast<double>(std::max<std::size_t>(sharers.total, 1));
}

} // namespace

fleet_bucket make_fleet_bucket(const bucket_contract& contract, instant now) {
    const std::chrono::duration<double> time = initial_tokens_time;
    return {std::min(contract.burst, contract.rate * time.count()), now};
}

void refill(fleet_bucket& bucket, const bucket_contract& contract, const bucket_sharers& sharers, instant now) {
    const std::chrono::duration<double> passed = now - bucket.refilled;
    const double share = reporting_share(sharers);
    bucket.refilled = now;
    bucket.tokens = std::min(std::max(1.0, contract.burst * share),
                             bucket.tokens + contract.rate * share * passed.count());
}

bool take_token(fleet_bucket& bucket, const bucket_contract& contract, const bucket_sharers& sharers,
                instant now) {
    if (contract.rate <= 0) {
        return true;
    }
    refill(bucket, contract, sharers, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void note_taken(fleet_bucket& bucket, const bucket_contract& contract, double tokens) {
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
