#include "node_metrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace cassiaspan {

namespace {

// Appends one counter line per value of the label.
void append_by_label(std::string& text, const char* name, const char* label,
                     const std::map<std::string, std::uint64_t>& counters) {
    for (const auto& [value, count] : counters) {
        text += fmt::format("cassiaspan_{}_total{{{}=\"{}\"}} {}\n", name, label, value, count);
    }
}

void append_by_outcome(std::string& text, const char* name,
                       const std::map<std::string, std::uint64_t>& counters) {
    append_by_label(text, name, "outcome", counters);
}

// Appends a counter without labels.
void append_counter(std::string& text, const char* name, std::uint64_t count) {
    text += fmt::format("cassiaspan_{}_total {}\n", name, count);
}

} // namespace

void observe(latency_histogram& histogram, milliseconds latency) {
    const auto* const bound =
        std::lower_bound(latency_bounds_ms.begin(), latency_bounds_ms.end(), latency.count());
    ++histogram.counts.at(static_cast<std::size_t>(bound - latency_bounds_ms.begin()));
    ++histogram.total;
    histogram.sum_ms += latency.count();
}

std::string render(const node_metrics& metrics) {
    std::string text;
    append_by_outcome(text, "requests", metrics.requests_by_outcome);
    append_by_outcome(text, "unanswered_requests", metrics.unanswered_by_outcome);
    append_by_outcome(text, "attempts", metrics.attempts_by_outcome);
    append_by_outcome(text, "relayed", metrics.relayed_by_outcome);
    append_by_outcome(text, "relay_attempts", metrics.relay_attempts_by_outcome);
    append_by_outcome(text, "store_calls", metrics.store_calls_by_outcome);
    append_by_label(text, "store_bytes", "call", metrics.store_bytes_by_call);
    append_by_label(text, "store_call_ms", "call", metrics.store_ms_by_call);
    append_by_label(text, "caught_up", "by", metrics.caught_up_by_means);
    for (const auto& [label, count] : metrics.admissions) {
        text +=
            fmt::format("cassiaspan_admission_total{{service=\"{}\",priority=\"{}\",decision=\"{}\"}} {}\n",
                        label.service, label.priority, label.decision, count);
    }
    for (const auto& [reason, count] : metrics.connections_refused_by_reason) {
        text += fmt::format("cassiaspan_connections_refused_total{{reason=\"{}\"}} {}\n", reason, count);
    }
    append_counter(text, "target_connections", metrics.target_connections);
    append_counter(text, "gossip_sent", metrics.gossip_sent);
    append_counter(text, "gossip_received", metrics.gossip_received);
    append_counter(text, "news_pulled", metrics.news_pulled);
    append_counter(text, "store_restores", metrics.store_restores);
    text += fmt::format("cassiaspan_config_entries_left_out {}\n", metrics.config_entries_left_out);
    for (const auto& [region, count] : metrics.lookup_listed_vms) {
        text += fmt::format("cassiaspan_lookup_listed_vms{{region=\"{}\"}} {}\n", region, count);
    }
    text += fmt::format("cassiaspan_busy {}\n", metrics.busy ? 1 : 0);
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < latency_bounds_ms.size(); ++i) {
        cumulative_count += metrics.answer_latency.counts.at(i);
        text += fmt::format("cassiaspan_answer_latency_ms_bucket{{le=\"{}\"}} {}\n", latency_bounds_ms.at(i),
                            cumulative_count);
    }
    text +=
        fmt::format("cassiaspan_answer_latency_ms_bucket{{le=\"+Inf\"}} {}\n", metrics.answer_latency.total);
    text += fmt::format("cassiaspan_answer_latency_ms_sum {}\n", metrics.answer_latency.sum_ms);
    text += fmt::format("cassiaspan_answer_latency_ms_count {}\n", metrics.answer_latency.total);
    return text;
}

std::string render_store_age(milliseconds age) {
    return fmt::format("cassiaspan_store_age_ms {}\n", age.count());
}

std::string render_target_slowdowns(std::vector<std::uint32_t> percents) {
    if (percents.empty()) {
        return "";
    }
    std::sort(percents.begin(), percents.end());
    constexpr const char* line = "cassiaspan_target_slowdown_percent{{quantile=\"{}\"}} {}\n";
    return fmt::format("cassiaspan_targets_reporting_speed {}\n", percents.size()) +
           fmt::format(line, "0", percents.front()) +
           fmt::format(line, "0.5", percents.at(percents.size() / 2)) +
           fmt::format(line, "1", percents.back());
}

std::string render(const memory_use& memory, std::size_t store_bytes) {
    std::string text;
    if (!memory.budget) {
        return text;
    }
    part_bytes used = memory.used;
    used.at(static_cast<std::size_t>(memory_part::store)) = store_bytes;
    for (std::size_t i = 0; i < memory_part_count; ++i) {
        const char* part = to_string(static_cast<memory_part>(i));
        text += fmt::format("cassiaspan_memory_budget_bytes{{part=\"{}\"}} {}\n", part,
                            memory.budget->parts.at(i));
        text += fmt::format("cassiaspan_memory_used_bytes{{part=\"{}\"}} {}\n", part, used.at(i));
    }
    return text;
}

} // namespace cassiaspan
