#include "simple_http_service.h"

#include "accept_loop.h"
#include "socket_timeout.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Closes a connection if a request and its response take longer, including the wait for the request.
constexpr milliseconds idle_timeout{5000};
constexpr milliseconds client_silence_timeout{3000};
constexpr std::uint32_t max_request_header_bytes = 8 * 1024;
// Limit of the bytes of a request that are kept until they can be parsed.
constexpr std::size_t max_unparsed_request_bytes = 2 * std::size_t{max_request_header_bytes};
// How long a caller may cache a lookup reply; short, so that callers soon stop using a VM that has ended.
constexpr milliseconds lookup_ttl{1000};

// Serves requests on one connection until it is closed, fails or times out.
asio::awaitable<void> serve_connection(node_core& core, std::shared_ptr<tcp::socket> socket,
                                       simple_handler handler) {
    set_tcp_options(*socket, client_silence_timeout);
    boost::beast::flat_buffer buffer(max_unparsed_request_bytes);
    bool keep_alive = true;
    while (keep_alive) {
        const socket_timeout timeout(core, socket, idle_timeout);
        http::request_parser<http::empty_body> parser;
        parser.header_limit(max_request_header_bytes);
        error_code error;
        co_await http::async_read(*socket, buffer, parser, capture_error(error));
        if (!error) {
            simple_response response = handler(parser.get());
            response.keep_alive(parser.get().keep_alive());
            response.prepare_payload();
            if (parser.get().method() == http::verb::head) {
                response.body().clear();
            }
            co_await http::async_write(*socket, response, capture_error(error));
        }
        keep_alive = !error && parser.get().keep_alive();
    }
    error_code ignored_error;
    socket->shutdown(tcp::socket::shutdown_send, ignored_error);
}

simple_response make_response(const simple_request& request, http::status status, std::string body) {
    simple_response response(status, request.version());
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(body);
    return response;
}

// Returns the request target: path and query.
std::string_view request_target(const simple_request& request) {
    return {request.target().data(), request.target().size()};
}

} // namespace

asio::awaitable<void> serve_simple_requests(node_core& core, tcp::acceptor& acceptor,
                                            simple_handler handler) {
    return accept_connections(core, acceptor,
                              [&core, handler = std::move(handler)](std::shared_ptr<tcp::socket> socket) {
                                  return serve_connection(core, std::move(socket), handler);
                              });
}

simple_response answer_readiness_check(const node_core& core, const simple_request& request) {
    if (!core.platform.is_readiness_check(request_target(request))) {
        return make_response(request, http::status::not_found, "not found\n");
    }
    return is_accepting(core) ? make_response(request, http::status::ok, "ready\n")
                              : make_response(request, http::status::service_unavailable, "not ready\n");
}

std::vector<socket_address> choose_vm_addresses(const node_core& core, const std::string& region) {
    const instant now = now_of(core);
    std::vector<socket_address> same_region;
    std::vector<socket_address> all;
    const auto add = [&](const socket_address& address, const std::string& vm_region) {
        all.push_back(address);
        if (vm_region == region) {
            same_region.push_back(address);
        }
    };
    if (is_accepting(core)) {
        add(core.settings.caller_address, core.settings.region);
    }
    for (const auto& [name, peer] : core.peers.by_name) {
        if (is_alive(peer, now) && peer.accepting) {
            add(peer.caller_address, peer.region);
        }
    }
    return same_region.empty() ? all : same_region;
}

simple_response answer_lookup(const node_core& core, const simple_request& request) {
    const auto query = core.platform.parse_lookup(request_target(request));
    if (!query) {
        return make_response(request, http::status::not_found, "not found\n");
    }
    // Maximum number of addresses in a reply.
    constexpr std::size_t max_addresses = 64;
    std::vector<socket_address> addresses = choose_vm_addresses(core, query->region);
    if (addresses.empty()) {
        return make_response(request, http::status::service_unavailable, "no VM accepts work\n");
    }
    addresses.resize(std::min(addresses.size(), max_addresses));
    simple_response response = make_response(
        request, http::status::ok,
        core.platform.render_lookup_reply(addresses, std::min(lookup_ttl, core.settings.max_lookup_ttl)));
    response.set(http::field::content_type, "application/json");
    return response;
}

simple_response answer_metrics(const node_core& core, const simple_request& request) {
    if (request_target(request) != "/metrics") {
        return make_response(request, http::status::not_found, "not found\n");
    }
    return make_response(request, http::status::ok, render(core.metrics));
}

} // namespace cassiaspan
