// Structured log: one JSON object per line, with a numbered event. Writing never blocks: lines are dropped
// and counted if the buffer is full or if lines about single requests exceed their rate limit.
#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace cassiaspan {

// Log event numbers. docs/OPERATIONS.md describes what each means and how to respond.
enum class node_event : int {
    started = 600,
    stopping = 601,
    stopped = 602,
    settings_reloaded = 603,
    config_applied = 610,
    entry_rejected = 611,
    target_changed = 612,
    evacuation_changed = 613,
    peer_changed = 614,
    reach_changed = 615,
    lookup_list_changed = 618,
    shortage_changed = 616,
    store_unavailable = 620,
    store_recovered = 621,
    store_restored = 622,
    store_transfer = 623,
    request_answered = 630,
    request_refused = 631,
    request_failed = 632,
    attempt_failed = 633,
    caller_left = 634,
    request_unanswered = 635,
    connection_closed = 636,
    log_lines_dropped = 690,
    internal_error = 699
};

// Builds the JSON fields of a log line; strings are escaped, numbers are written as they are.
class log_fields {
public:
    log_fields& add(std::string_view name, std::string_view text);
    log_fields& add(std::string_view name, const char* text) {
        return this->add(name, std::string_view(text));
    }
    log_fields& add(std::string_view name, const std::string& text) {
        return this->add(name, std::string_view(text));
    }
    template <class Number> log_fields& add(std::string_view name, Number number) {
        fmt::format_to(std::back_inserter(this->line), ",\"{}\":{}", name, number);
        return *this;
    }
    // Returns the fields as JSON members, each preceded by a comma.
    [[nodiscard]] const std::string& text() const { return this->line; }

private:
    std::string line;
};

// The log of one process. Not thread-safe.
class node_log {
public:
    // Writes to the open file descriptor, which is set to non-blocking mode.
    node_log(std::string vm_in, int descriptor_in);

    // Appends a line to the buffer. Under load, lines about single requests are dropped first.
    void write(instant now, node_event event, const log_fields& fields);
    // Writes as much of the buffer as the descriptor accepts without blocking. Logs how many lines were
    // dropped since the last call.
    void flush();
    // Returns how many lines were dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const { return this->dropped_lines; }

private:
    bool exceeds_rate_limit(instant now, node_event event);

    std::string vm;
    int descriptor;
    std::string buffer;
    instant rate_window_start;
    std::size_t lines_in_window = 0;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported_dropped_lines = 0;
};

} // namespace cassiaspan
