// Checks exactly whether a sequence of runs keeps to a rate and burst over every window.
#pragma once

#include "budget.h"

#include <boost/multiprecision/cpp_int.hpp>

#include <algorithm>

namespace cassiaspan::test {

// In every window [s, e], runs <= burst + rate * (e - s): the same as a bucket that leaks at `rate` never
// holding more than `burst`. All in whole numbers.
class rate_meter {
public:
    rate_meter(budget_share contract_in) : contract(contract_in) {}

    // Notes a run. Times must not go back.
    void note(instant time) {
        const wide leaked = wide(this->contract.rate) * (time - this->last).count();
        this->level = std::max<wide>(0, this->level - leaked) +
                      wide(microrequests_per_request) * nanoseconds_per_second;
        this->last = time;
        this->highest = std::max(this->highest, this->level);
    }
    [[nodiscard]] bool kept() const {
        return this->highest <= wide(this->contract.cap) * nanoseconds_per_second;
    }
    // Requests above the burst, at the worst instant.
    [[nodiscard]] double excess() const {
        const wide over = this->highest - wide(this->contract.cap) * nanoseconds_per_second;
        return static_cast<double>(over) / (1e9 * microrequests_per_request);
    }

private:
    using wide = boost::multiprecision::int128_t;
    static constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
    budget_share contract;
    instant last;
    wide level = 0;
    wide highest = 0;
};

} // namespace cassiaspan::test
