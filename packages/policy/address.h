// Parses IP addresses with a port, and Host headers.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiaspan {

// A numeric IPv4 or IPv6 address and a port.
struct socket_address {
    // Without brackets.
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const socket_address&) const = default;
};

// Parses "10.0.0.7:8080" or "[::1]:8080". Returns nullopt for host names and other invalid text.
[[nodiscard]] std::optional<socket_address> parse_address(const std::string& text);

// Returns the host of an HTTP Host header without its port. An IPv6 address keeps its brackets.
[[nodiscard]] std::string_view host_without_port(std::string_view host_header);

} // namespace cassiaspan
