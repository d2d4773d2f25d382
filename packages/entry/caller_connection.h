// The caller's side of one request: reading its body, writing its answer.
#pragma once

#include "http_client.h"
#include "http_server.h"
#include "refusal.h"
#include "request_head.h"

#include <string>
#include <string_view>

namespace cassiaspan {

// Bytes at the start of a body that are read before the request is dispatched. They are part of its
// fingerprint, and a body that fits can be sent again to another target.
constexpr std::size_t body_prefix_bytes = 64U << 10U;

// How reading a body went on.
enum class body_progress { more, done, too_large, broken };

// One request's connection. Lives as long as the handler runs.
class caller_connection {
public:
    caller_connection(mg_connection* handle_in, http_server& server_in, std::int64_t max_body_bytes_in)
        : handle(handle_in), server(server_in), max_body_bytes(max_body_bytes_in) {}

    // Reads the first part of the body into `prefix`.
    [[nodiscard]] body_progress read_prefix(const request_head& head, std::string& prefix);
    // Reads a further part of the body into `buffer`.
    [[nodiscard]] body_progress read_more(const request_head& head, std::string& buffer);
    // Whether the body has been read to its end.
    [[nodiscard]] bool body_done() const { return this->finished; }

    // The connection ends after this answer.
    void close_after_answer();
    // Writes bytes; false when the caller is gone.
    bool write(std::string_view bytes);
    // Writes one chunk of a chunked answer; an empty one ends it.
    bool write_chunk(std::string_view bytes);
    // Cuts the connection, so that the caller sees that its answer is not whole.
    void abort();
    // Whether the connection will be closed after the answer.
    [[nodiscard]] bool closes() const { return this->closing; }

    // Sends a refusal and returns its status code.
    int refuse(const refusal& value, const std::string& request_id);
    // Sends a whole short answer and returns its status code.
    int answer(int status, const std::string& content_type, const std::string& body,
               const std::string& request_id);

private:
    mg_connection* handle;
    http_server& server;
    std::int64_t max_body_bytes;
    std::int64_t body_bytes = 0;
    bool finished = false;
    bool closing = false;
};

} // namespace cassiaspan
