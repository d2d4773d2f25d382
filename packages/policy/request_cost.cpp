#include "request_cost.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiaspan {

namespace {

// Time constant of the averages: 25 samples of the housekeeping interval, so that a single large response
// does not change the cost much.
constexpr std::chrono::duration<double> averaging_time{5};
// With fewer requests a second, single requests and background work determine the average.
constexpr double min_requests_per_second = 5;
// Bounds of a plausible cost. A value outside is an error of measurement.
constexpr double min_cpu_ms = 0.1;
constexpr double max_cpu_ms = 10;
constexpr double min_bytes = 1'000;
constexpr double max_bytes = 1'000'000;

} // namespace

void sample_usage(request_cost_meter& meter, const usage_totals& totals, bool is_idle, instant now) {
    const usage_totals previous = std::exchange(meter.last_totals, totals);
    const instant previous_sample = std::exchange(meter.last_sample, now);
    if (previous_sample == instant{} || now <= previous_sample) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - previous_sample;
    const double weight = 1 - std::exp(-(elapsed / averaging_time));
    const auto average = [weight](double& value, double sample) { value += weight * (sample - value); };
    const auto requests = static_cast<double>(totals.requests - previous.requests);
    const std::chrono::duration<double, std::milli> cpu_time = totals.cpu_time - previous.cpu_time;
    const double cpu_rate = cpu_time.count() / elapsed.count();
    average(meter.requests_per_second, requests / elapsed.count());
    average(meter.bytes_per_second, static_cast<double>(totals.bytes - previous.bytes) / elapsed.count());
    average(meter.cpu_rate, cpu_rate);
    if (is_idle && requests == 0) {
        average(meter.idle_cpu_rate, cpu_rate);
    }
}

request_cost measured_request_cost(const request_cost_meter& meter) {
    if (meter.requests_per_second < min_requests_per_second) {
        return {};
    }
    return {std::clamp((meter.cpu_rate - meter.idle_cpu_rate) / meter.requests_per_second, min_cpu_ms,
                       max_cpu_ms),
            std::clamp(meter.bytes_per_second / meter.requests_per_second, min_bytes, max_bytes)};
}

} // namespace cassiaspan
