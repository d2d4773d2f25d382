#include "node_log.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace cassiaspan {

namespace {

// Buffered bytes that may wait for a slow reader of the log.
constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;
// Lines about single requests in one second.
constexpr std::size_t max_request_lines_per_second = 400;

bool concerns_one_request(node_event event) {
    return event >= node_event::request_answered && event < node_event::log_lines_dropped;
}

// Appends the text as the inside of a JSON string.
void append_escaped(std::string& line, std::string_view text) {
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            line += '\\';
            line += letter;
        } else if (static_cast<unsigned char>(letter) < 0x20) {
            fmt::format_to(std::back_inserter(line), "\\u{:04x}", static_cast<unsigned>(letter));
        } else {
            line += letter;
        }
    }
}

} // namespace

log_fields& log_fields::add(std::string_view name, std::string_view text) {
    this->line += ",\"";
    this->line += name;
    this->line += "\":\"";
    append_escaped(this->line, text);
    this->line += '"';
    return *this;
}

node_log::node_log(std::string vm_in, int descriptor_in) : vm(std::move(vm_in)), descriptor(descriptor_in) {
    // A reader that has stopped reading must not stop the VM.
    const int flags = ::fcntl(this->descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool node_log::is_over_rate(instant now, node_event event) {
    if (now - this->rate_window >= seconds(1)) {
        this->rate_window = now;
        this->lines_in_window = 0;
    }
    return concerns_one_request(event) && ++this->lines_in_window > max_request_lines_per_second;
}

void node_log::write(instant now, node_event event, const log_fields& fields) {
    if (this->is_over_rate(now, event) || this->buffer.size() > max_buffered_bytes) {
        ++this->dropped_lines;
        return;
    }
    fmt::format_to(std::back_inserter(this->buffer), "{{\"time_ms\":{},\"vm\":\"{}\",\"event\":{}",
                   unix_milliseconds(), this->vm, static_cast<int>(event));
    this->buffer += fields.text();
    this->buffer += "}\n";
}

void node_log::flush() {
    if (this->dropped_lines != this->reported_drops) {
        fmt::format_to(std::back_inserter(this->buffer),
                       "{{\"time_ms\":{},\"vm\":\"{}\",\"event\":{},\"lines\":{}}}\n", unix_milliseconds(),
                       this->vm, static_cast<int>(node_event::log_lines_dropped),
                       this->dropped_lines - this->reported_drops);
        this->reported_drops = this->dropped_lines;
    }
    while (!this->buffer.empty()) {
        const ssize_t written = ::write(this->descriptor, this->buffer.data(), this->buffer.size());
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            // The reader is slow or gone: the lines wait, and are dropped when the buffer is full.
            return;
        }
        this->buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace cassiaspan
