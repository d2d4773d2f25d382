#include "request_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <civetweb.h>
#include <strings.h>

namespace cassiaspan {

namespace {

constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view own_header_prefix = "X-Cassiaspan-";

// Headers that concern one connection only, or that the system sets itself, or that carry the key.
constexpr std::array<std::string_view, 15> dropped_headers{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Upgrade",
                                                           "Transfer-Encoding",
                                                           "Content-Length",
                                                           "Host",
                                                           "Authorization",
                                                           "X-Api-Key",
                                                           "Expect",
                                                           "X-Request-Id",
                                                           "X-Request-Timeout-Ms"};

bool equals(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

refusal bad_request() {
    return {refusal_reason::bad_request, run_state::not_run, milliseconds{0}};
}

std::vector<std::string_view> values_of(const request_head& head, std::string_view name) {
    std::vector<std::string_view> values;
    for (const http_header& header : head.headers) {
        if (equals(header.name, name)) {
            values.push_back(header.value);
        }
    }
    return values;
}

template <class Number> bool parse_whole(std::string_view text, Number& value) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() && value >= 0;
}

// Encoded or relative parts could lead a target to another path than the one that was checked.
bool is_plain_path(std::string_view path) {
    if (path.empty() || path.front() != '/' || path.find("//") != std::string_view::npos ||
        path.find('\\') != std::string_view::npos) {
        return false;
    }
    for (const std::string_view part : {"/../", "/./", "%2f", "%2F", "%2e", "%2E", "%5c", "%5C", "%00"}) {
        if (path.find(part) != std::string_view::npos) {
            return false;
        }
    }
    const auto ends_with = [path](std::string_view end) {
        return path.size() >= end.size() && path.substr(path.size() - end.size()) == end;
    };
    return !ends_with("/..") && !ends_with("/.");
}

bool has_control_character(std::string_view text) {
    return std::any_of(text.begin(), text.end(),
                       [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; });
}

bool read_framing(request_head& head) {
    const auto lengths = values_of(head, "Content-Length");
    const auto encodings = values_of(head, "Transfer-Encoding");
    if (lengths.size() > 1 || encodings.size() > 1 || (!lengths.empty() && !encodings.empty())) {
        return false;
    }
    if (!encodings.empty()) {
        head.chunked = equals(encodings.front(), "chunked");
        return head.chunked;
    }
    if (!lengths.empty()) {
        std::int64_t length = 0;
        if (!parse_whole(lengths.front(), length)) {
            return false;
        }
        head.content_length = length;
    }
    return true;
}

bool read_key(request_head& head) {
    const auto authorizations = values_of(head, "Authorization");
    const auto keys = values_of(head, "X-Api-Key");
    if (authorizations.size() + keys.size() > 1) {
        return false;
    }
    if (!keys.empty()) {
        head.key = std::string(keys.front());
    } else if (!authorizations.empty() && authorizations.front().size() > bearer.size() &&
               equals(authorizations.front().substr(0, bearer.size()), bearer)) {
        head.key = std::string(authorizations.front().substr(bearer.size()));
    }
    return true;
}

bool read_options(request_head& head) {
    const auto idempotency_keys = values_of(head, "Idempotency-Key");
    if (idempotency_keys.size() > 1) {
        return false;
    }
    if (!idempotency_keys.empty()) {
        head.idempotency_key = std::string(idempotency_keys.front());
        if (head.idempotency_key.empty() || head.idempotency_key.size() > max_idempotency_key_bytes) {
            return false;
        }
    }
    const auto timeouts = values_of(head, "X-Request-Timeout-Ms");
    if (!timeouts.empty()) {
        std::uint32_t timeout = 0;
        if (timeouts.size() > 1 || !parse_whole(timeouts.front(), timeout)) {
            return false;
        }
        head.timeout = milliseconds{timeout};
    }
    const auto expectations = values_of(head, "Expect");
    head.expects_continue = !expectations.empty() && equals(expectations.front(), "100-continue");
    return true;
}

bool is_dropped(std::string_view name) {
    return equals(name.substr(0, own_header_prefix.size()), own_header_prefix) ||
           std::any_of(dropped_headers.begin(), dropped_headers.end(),
                       [name](std::string_view dropped) { return equals(name, dropped); });
}

std::string url_decode(std::string_view text) {
    std::string decoded(text.size() + 1, '\0');
    const int size = mg_url_decode(text.data(), static_cast<int>(text.size()), decoded.data(),
                                   static_cast<int>(decoded.size()), 1);
    decoded.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return decoded;
}

std::string_view trim(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t\"");
    const std::size_t last = text.find_last_not_of(" \t\"");
    return first == std::string_view::npos ? std::string_view{} : text.substr(first, last - first + 1);
}

struct key_filter {
    const config_snapshot& configuration;
    const std::string& own_key;

    [[nodiscard]] bool is_key(std::string_view text) const {
        const std::string_view trimmed = trim(text);
        return !trimmed.empty() &&
               (trimmed == this->own_key || this->configuration.find_workspace_by_key(trimmed) != nullptr);
    }
    [[nodiscard]] bool is_key_in_any_form(std::string_view text) const {
        return this->is_key(text) || this->is_key(url_decode(text));
    }
};

// Returns the list without the items whose value, after '=', is a key.
std::string drop_keys(std::string_view text, char separator, const key_filter& filter) {
    std::string kept;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view item = text.substr(0, end);
        const std::size_t equal = item.find('=');
        const std::string_view value = equal == std::string_view::npos ? item : item.substr(equal + 1);
        if (!filter.is_key_in_any_form(value)) {
            kept += kept.empty() ? "" : std::string(1, separator);
            kept += item;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return kept;
}

std::string clean_value(const http_header& header, const key_filter& filter) {
    if (equals(header.name, "Cookie")) {
        return drop_keys(header.value, ';', filter);
    }
    // A scheme may stand before the key, as in "Token abc".
    const std::size_t space = header.value.rfind(' ');
    const std::string_view last = space == std::string::npos
                                      ? std::string_view(header.value)
                                      : std::string_view(header.value).substr(space + 1);
    const bool has_key = filter.is_key_in_any_form(header.value) || filter.is_key_in_any_form(last);
    return has_key ? "" : header.value;
}

// Headers that a Connection header names concern this connection only.
bool is_named_by_connection(const request_head& head, std::string_view name) {
    for (const std::string_view value : values_of(head, "Connection")) {
        std::string_view rest = value;
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find(','), rest.size());
            if (equals(trim(rest.substr(0, end)), name)) {
                return true;
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return false;
}

} // namespace

tl::expected<request_head, refusal> read_request_head(const mg_request_info& info) {
    request_head head;
    head.method = info.request_method == nullptr ? "" : info.request_method;
    head.path = info.request_uri == nullptr ? "" : info.request_uri;
    head.query = info.query_string == nullptr ? "" : info.query_string;
    // CivetWeb leaves the query in the raw address.
    head.path = head.path.substr(0, head.path.find('?'));
    for (int i = 0; i < info.num_headers; ++i) {
        head.headers.push_back({info.http_headers[i].name, info.http_headers[i].value});
        if (head.headers.back().name.empty() || has_control_character(head.headers.back().value) ||
            head.headers.back().name.find_first_of(" \t") != std::string::npos) {
            return tl::make_unexpected(bad_request());
        }
    }
    if (!is_plain_path(head.path) || !read_framing(head) || !read_key(head) || !read_options(head)) {
        return tl::make_unexpected(bad_request());
    }
    return head;
}

bool has_body(const request_head& head) {
    return head.chunked || head.content_length.value_or(0) > 0;
}

std::string render_forward_head(const request_head& head, const config_snapshot& configuration,
                                const forward_context& context) {
    const key_filter filter{configuration, head.key};
    const std::string query = drop_keys(head.query, '&', filter);
    std::string text = head.method + " " + head.path + (query.empty() ? "" : "?" + query) + " HTTP/1.1\r\n";
    text += "Host: " + context.host + "\r\n";
    for (const http_header& header : head.headers) {
        if (is_dropped(header.name) || is_named_by_connection(head, header.name)) {
            continue;
        }
        const std::string value = clean_value(header, filter);
        if (!value.empty()) {
            text += header.name + ": " + value + "\r\n";
        }
    }
    text += "X-Request-Id: " + context.request_id + "\r\n";
    text += "X-Request-Timeout-Ms: " + std::to_string(context.timeout.count()) + "\r\n";
    if (!context.workspace.empty()) {
        text += "X-Cassiaspan-Workspace: " + context.workspace + "\r\n";
    }
    if (head.chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (head.content_length || head.method == "POST" || head.method == "PUT" ||
               head.method == "PATCH") {
        text += "Content-Length: " + std::to_string(head.content_length.value_or(0)) + "\r\n";
    }
    return text + "\r\n";
}

} // namespace cassiaspan
