#include "service_metrics.h"

#include <sstream>

namespace cassiaspan {

namespace {

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};

} // namespace

service_metrics::series::series()
    : latency_s(boost::accumulators::extended_p_square_probabilities = quantiles) {}

std::int64_t service_metrics::present_minute() const {
    return std::chrono::duration_cast<std::chrono::minutes>(this->time.now().time_since_epoch()).count();
}

void service_metrics::note(const request_sample& sample) {
    const std::scoped_lock lock(this->mutex);
    series& entry = this->all[{sample.workspace, sample.service}];
    const std::int64_t minute = this->present_minute();
    minute_counts& counts = entry.minutes.at(static_cast<std::size_t>(minute) % kept_minutes);
    if (counts.minute != minute) {
        counts = {minute, 0, 0, 0};
    }
    ++counts.requests;
    counts.failed += sample.failed ? 1 : 0;
    counts.slow += sample.slow ? 1 : 0;
    entry.latency_s(std::chrono::duration<double>(sample.latency).count());
    ++entry.outcomes[sample.refusal.empty() ? "answered" : sample.refusal];
}

std::vector<schema::BurnSample> service_metrics::burn() const {
    const std::scoped_lock lock(this->mutex);
    const std::int64_t now = this->present_minute();
    std::vector<schema::BurnSample> samples;
    for (const auto& [key, entry] : this->all) {
        for (const seconds window : burn_windows) {
            schema::BurnSample sample;
            sample.set_workspace(key.workspace);
            sample.set_service(key.service);
            sample.set_window_s(static_cast<std::uint32_t>(window.count()));
            const std::int64_t first = now - std::chrono::duration_cast<std::chrono::minutes>(window).count();
            for (const minute_counts& counts : entry.minutes) {
                if (counts.minute > first) {
                    sample.set_requests(sample.requests() + counts.requests);
                    sample.set_failed(sample.failed() + counts.failed);
                    sample.set_slow(sample.slow() + counts.slow);
                }
            }
            samples.push_back(std::move(sample));
        }
    }
    return samples;
}

std::string service_metrics::render() const {
    const std::scoped_lock lock(this->mutex);
    std::ostringstream text;
    text << "# TYPE cassiaspan_requests_total counter\n";
    for (const auto& [key, entry] : this->all) {
        for (const auto& [outcome, count] : entry.outcomes) {
            text << "cassiaspan_requests_total{workspace=\"" << key.workspace << "\",service=\""
                 << key.service << "\",outcome=\"" << outcome << "\"} " << count << "\n";
        }
    }
    text << "# TYPE cassiaspan_request_seconds summary\n";
    for (const auto& [key, entry] : this->all) {
        const std::string labels = "workspace=\"" + key.workspace + "\",service=\"" + key.service + "\"";
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            text << "cassiaspan_request_seconds{" << labels << ",quantile=\"" << quantiles.at(i) << "\"} "
                 << boost::accumulators::extended_p_square(entry.latency_s)[static_cast<std::ptrdiff_t>(i)]
                 << "\n";
        }
        text << "cassiaspan_request_seconds_sum{" << labels << "} "
             << boost::accumulators::sum(entry.latency_s) << "\n";
        text << "cassiaspan_request_seconds_count{" << labels << "} "
             << boost::accumulators::count(entry.latency_s) << "\n";
    }
    return text.str();
}

} // namespace cassiaspan
