// Counts and distributions of requests, for the metrics page and for service-level burn.
#pragma once

#include "caller.pb.h"
#include "clock.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cassiaspan {

// What one finished request counts as.
struct request_sample {
    std::string workspace;
    std::string service;
    // Empty when a target answered.
    std::string refusal;
    bool failed = false;
    // Above the latency objective.
    bool slow = false;
    nanoseconds latency{};
};

// Windows that burn is told for.
constexpr std::array<seconds, 4> burn_windows{seconds{300}, seconds{1800}, seconds{3600}, seconds{21600}};

// May be used from any thread.
class service_metrics {
public:
    explicit service_metrics(const clock& clock_in) : time(clock_in) {}

    void note(const request_sample& sample);
    // Returns the counts of each workspace and service in each window.
    [[nodiscard]] std::vector<schema::BurnSample> burn() const;
    // Returns the metrics in Prometheus' text format.
    [[nodiscard]] std::string render() const;

private:
    // One minute's counts; `minute` tells which, since slots are used again.
    struct minute_counts {
        std::int64_t minute = -1;
        std::uint64_t requests = 0;
        std::uint64_t failed = 0;
        std::uint64_t slow = 0;
    };
    struct series_key {
        std::string workspace;
        std::string service;
        auto operator<=>(const series_key&) const = default;
    };
    using distribution = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max,
                                           boost::accumulators::tag::extended_p_square>>;
    // Minutes of the longest window.
    static constexpr std::size_t kept_minutes = 360;
    struct series {
        series();
        std::array<minute_counts, kept_minutes> minutes;
        distribution latency_s;
        std::map<std::string, std::uint64_t> outcomes;
    };

    [[nodiscard]] std::int64_t present_minute() const;

    const clock& time;
    mutable std::mutex mutex;
    std::map<series_key, series> all;
};

} // namespace cassiaspan
