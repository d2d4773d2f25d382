#include "caller_connection.h"

#include "socket_finder.h"

#include <array>
#include <civetweb.h>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

constexpr std::size_t read_bytes = 16U << 10U;

} // namespace

body_progress caller_connection::read_prefix(const request_head& head, std::string& prefix) {
    if (head.content_length.value_or(0) > this->max_body_bytes) {
        return body_progress::too_large;
    }
    if (!has_body(head)) {
        this->finished = true;
        this->server.note_body_done(this->handle);
        return body_progress::done;
    }
    if (head.expects_continue) {
        this->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    while (prefix.size() < body_prefix_bytes) {
        const body_progress progress = this->read_more(head, prefix);
        if (progress != body_progress::more) {
            return progress;
        }
    }
    return body_progress::more;
}

body_progress caller_connection::read_more(const request_head& head, std::string& buffer) {
    std::array<char, read_bytes> part{};
    const int count = mg_read(this->handle, part.data(), part.size());
    if (count < 0) {
        return body_progress::broken;
    }
    this->body_bytes += count;
    buffer.append(part.data(), static_cast<std::size_t>(count));
    this->server.note_body_progress(this->handle, static_cast<std::size_t>(count));
    if (this->body_bytes > this->max_body_bytes) {
        return body_progress::too_large;
    }
    const bool whole_length = head.content_length && this->body_bytes == *head.content_length;
    if (whole_length || (count == 0 && head.chunked)) {
        this->finished = true;
        this->server.note_body_done(this->handle);
        return body_progress::done;
    }
    return count == 0 ? body_progress::broken : body_progress::more;
}

void caller_connection::close_after_answer() {
    if (!this->closing) {
        this->closing = true;
        mg_disable_connection_keep_alive(this->handle);
    }
}

bool caller_connection::write(std::string_view bytes) {
    return bytes.empty() ||
           mg_write(this->handle, bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

bool caller_connection::write_chunk(std::string_view bytes) {
    return mg_send_chunk(this->handle, bytes.data(), static_cast<unsigned int>(bytes.size())) >= 0;
}

void caller_connection::abort() {
    this->close_after_answer();
    const mg_request_info* info = mg_get_request_info(this->handle);
    const socket_address caller{static_cast<const char*>(info->remote_addr),
                                static_cast<std::uint16_t>(info->remote_port)};
    if (const auto socket = find_socket(caller, {})) {
        shutdown(*socket, SHUT_RDWR);
    }
}

int caller_connection::refuse(const refusal& value, const std::string& request_id) {
    const int status = status_of(value.reason);
    const std::string body = render_refusal(value, request_id);
    if (!this->finished) {
        // What is left of the body must not be read as the next request.
        this->close_after_answer();
    }
    constexpr std::int64_t milliseconds_per_second = 1000;
    const std::int64_t retry_after =
        (value.retry_after.count() + milliseconds_per_second - 1) / milliseconds_per_second;
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " + mg_get_response_code_text(this->handle, status) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\nX-Request-Id: " + request_id + "\r\n";
    if (retry_after > 0) {
        text += "Retry-After: " + std::to_string(retry_after) + "\r\n";
    }
    text += this->closing ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
    this->write(text + body);
    return status;
}

int caller_connection::answer(int status, const std::string& content_type, const std::string& body,
                              const std::string& request_id) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                       mg_get_response_code_text(this->handle, status) + "\r\nContent-Type: " + content_type +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!request_id.empty()) {
        text += "X-Request-Id: " + request_id + "\r\n";
    }
    text += this->closing ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
    this->write(text + body);
    return status;
}

} // namespace cassiaspan
