// Numbered log events, written as text or JSON lines by a thread of their own.
#pragma once

#include "events.pb.h"

#include <string>

namespace cassiaspan {

// How much an event matters.
enum class severity { debug, info, warning, error };

// Where and how a process logs.
struct log_options {
    std::string vm;
    bool json = false;
    severity lowest = severity::info;
};

// Starts logging to standard error. Lines that find the queue full are dropped.
void start_log(const log_options& options);
// Writes what is queued and ends logging.
void stop_log();

// Logs an event. `request_id` may be empty. Never pass a key in `text`.
void log_event(schema::Event event, severity level, const std::string& request_id, const std::string& text);

// Returns the event catalogue as the Markdown page docs/EVENTS.md.
[[nodiscard]] std::string render_event_catalogue();

} // namespace cassiaspan
