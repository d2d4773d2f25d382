// Structured log lines on standard output: one JSON object a line, with a numbered event of the catalogue.
// Writing never blocks: lines that find the buffer full, or are over the rate, are counted and dropped.
#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace cassiaspan {

// Numbers of the log events. docs/OPERATIONS.md tells what each means and what to do about it.
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
    store_unavailable = 620,
    store_recovered = 621,
    request_answered = 630,
    request_refused = 631,
    request_failed = 632,
    attempt_failed = 633,
    caller_left = 634,
    log_lines_dropped = 690,
    internal_error = 699
};

// Builds the fields of a line.
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
    [[nodiscard]] const std::string& text() const { return this->line; }

private:
    std::string line;
};

// The log of one process.
class node_log {
public:
    node_log(std::string vm_in, int descriptor_in);

    // Appends a line. Lines about single requests are the first to be dropped under load.
    void write(instant now, node_event event, const log_fields& fields);
    // Hands buffered lines to the descriptor, as far as it takes them.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return this->dropped_lines; }

private:
    bool is_over_rate(instant now, node_event event);

    std::string vm;
    int descriptor;
    std::string buffer;
    instant rate_window;
    std::size_t lines_in_window = 0;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported_drops = 0;
};

} // namespace cassiaspan
