// The checked head of a caller's request, and the head that the target gets in its place.
#pragma once

#include "clock.h"
#include "config_snapshot.h"
#include "http_client.h"
#include "refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

struct mg_request_info;

namespace cassiaspan {

// A request line with headers, checked for everything that could make two servers read it differently.
struct request_head {
    std::string method;
    std::string path;
    // Without the '?'.
    std::string query;
    std::vector<http_header> headers;
    std::optional<std::int64_t> content_length;
    bool chunked = false;
    bool expects_continue = false;
    // From "Authorization: Bearer" or "X-Api-Key"; empty when there is none.
    std::string key;
    std::string idempotency_key;
    std::optional<milliseconds> timeout;
};

// What is added to a request on its way to a target.
struct forward_context {
    std::string host;
    std::string request_id;
    std::string workspace;
    milliseconds timeout{};
};

// Reads and checks a request head.
[[nodiscard]] tl::expected<request_head, refusal> read_request_head(const mg_request_info& info);

// Returns whether the request carries a body.
[[nodiscard]] bool has_body(const request_head& head);

// Renders the head for the target: without hop-by-hop headers, without keys in any place, with the context.
[[nodiscard]] std::string render_forward_head(const request_head& head, const config_snapshot& configuration,
                                              const forward_context& context);

} // namespace cassiaspan
