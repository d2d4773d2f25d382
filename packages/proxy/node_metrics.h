// Counters and latency histogram of one VM, rendered in the Prometheus text format.
#pragma once

#include "clock.h"
#include "memory_use.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassiaspan {

// Upper bounds of the histogram buckets, in milliseconds, inclusive.
constexpr std::array<std::int64_t, 12> latency_bounds_ms{5,   10,  25,   50,   100,  200,
                                                         400, 800, 1200, 2000, 4000, 8000};

// Latencies in milliseconds; the last count is for those above all bounds.
struct latency_histogram {
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> counts{};
    std::uint64_t total = 0;
    std::int64_t sum_ms = 0;
};

// A decision about requests of one class of a service.
struct admission_label {
    std::string service;
    // The class's pair of priorities, workspace and route, such as "0.2".
    std::string priority;
    std::string decision;
    auto operator<=>(const admission_label&) const = default;
};

// Counts since the start of the process, and gauges.
struct node_metrics {
    // By outcome: the status class of a target's response, or the reason for a refusal.
    std::map<std::string, std::uint64_t> requests_by_outcome;
    // Requests of which bytes were read and whose connection ended before the response was complete, by what
    // ended it; those whose callers left are not counted.
    std::map<std::string, std::uint64_t> unanswered_by_outcome;
    std::map<std::string, std::uint64_t> attempts_by_outcome;
    // Requests that this VM has served for peers, and attempts to have a peer serve a request.
    std::map<std::string, std::uint64_t> relayed_by_outcome;
    std::map<std::string, std::uint64_t> relay_attempts_by_outcome;
    std::map<std::string, std::uint64_t> store_calls_by_outcome;
    // Bytes of the store's responses, and the time of the calls in milliseconds, by call.
    std::map<std::string, std::uint64_t> store_bytes_by_call;
    std::map<std::string, std::uint64_t> store_ms_by_call;
    // Advances of the mirror, by what brought the changes: "watch", "full_read" or "pull".
    std::map<std::string, std::uint64_t> caught_up_by_means;
    // Requests of services with classes, by what admission control decided.
    std::map<admission_label, std::uint64_t> admissions;
    std::uint64_t target_connections = 0;
    std::uint64_t gossip_sent = 0;
    std::uint64_t gossip_received = 0;
    // Replies with newer store changes that were pulled from peers.
    std::uint64_t news_pulled = 0;
    // Callers' connections that were closed for want of memory or descriptors, by reason.
    std::map<std::string, std::uint64_t> connections_refused_by_reason;
    // Changes to a later epoch of the store.
    std::uint64_t store_restores = 0;
    // Gauge: entries left out of the configuration in force, and its routes of unknown kinds.
    std::uint64_t config_entries_left_out = 0;
    // VMs that this VM's last lookup for a region listed, by region.
    std::map<std::string, std::size_t> lookup_listed_vms;
    // The event loop was delayed by over 50 ms within the last second.
    bool busy = false;
    latency_histogram answer_latency;
};

// Adds one latency to the histogram.
void observe(latency_histogram& histogram, milliseconds latency);

// Returns the metrics in the Prometheus text format.
[[nodiscard]] std::string render(const node_metrics& metrics);

// Returns the gauge of how long ago the VM last knew the store's contents, in milliseconds.
[[nodiscard]] std::string render_store_age(milliseconds age);

// Returns the gauge of the figures that targets report about their current speed, in percent: their number,
// minimum, median and maximum. Returns an empty text if there are none.
[[nodiscard]] std::string render_target_slowdowns(std::vector<std::uint32_t> percents);

// Returns the budget and the used bytes of each part in the same format; empty without a budget.
// `store_bytes` is the size of the store's items.
[[nodiscard]] std::string render(const memory_use& memory, std::size_t store_bytes);

} // namespace cassiaspan
