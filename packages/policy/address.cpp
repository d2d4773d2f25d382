#include "address.h"

#include <arpa/inet.h>
#include <charconv>

namespace cassiaspan {

namespace {

bool is_numeric_host(const std::string& host) {
    in6_addr buffer{};
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1 || inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

} // namespace

std::optional<socket_address> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !is_numeric_host(host)) {
        return std::nullopt;
    }
    return socket_address{host, port};
}

std::string_view host_without_port(std::string_view host_header) {
    const std::size_t bracket = host_header.rfind(']');
    const std::size_t colon = host_header.rfind(':');
    const bool has_port =
        colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
    return has_port ? host_header.substr(0, colon) : host_header;
}

} // namespace cassiaspan
