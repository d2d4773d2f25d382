// What one request costs a VM in CPU time and network bytes, as the VM measures it on itself. Sampling takes
// constant time and no memory beyond the meter.
#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>

namespace cassiaspan {

// The cost of one request.
struct request_cost {
    // CPU time in milliseconds. The default is assumed until the cost has been measured.
    double cpu_ms = 1;
    // Bytes of the request's body and the response. The default is assumed until the cost has been measured.
    double bytes = 20'000;
    auto operator<=>(const request_cost&) const = default;
};

// Totals of the process since it started.
struct usage_totals {
    microseconds cpu_time{};
    // Requests read.
    std::uint64_t requests = 0;
    // Bytes received from and sent to callers.
    std::uint64_t bytes = 0;
    auto operator<=>(const usage_totals&) const = default;
};

// Moving averages of the process's use.
struct request_cost_meter {
    usage_totals last_totals;
    instant last_sample;
    double requests_per_second = 0;
    double bytes_per_second = 0;
    // CPU milliseconds per second: in total, and without any request.
    double cpu_rate = 0;
    double idle_cpu_rate = 0;
    auto operator<=>(const request_cost_meter&) const = default;
};

// Adds a sample to the meter. `is_idle`: no request is in progress.
void sample_usage(request_cost_meter& meter, const usage_totals& totals, bool is_idle, instant now);

// Returns the measured cost, within 0.1 to 10 ms and 1 to 1,000 kB; the default while the VM reads fewer than
// 5 requests a second. CPU time that the process also uses without requests is not included: the reports
// between VMs alone would otherwise multiply the cost on a VM with few requests.
[[nodiscard]] request_cost measured_request_cost(const request_cost_meter& meter);

} // namespace cassiaspan
