#include "simple_http_service.h"

#include "accept_loop.h"
#include "socket_timeout.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr milliseconds idle_time{5000};
constexpr milliseconds client_silence{3000};
constexpr std::uint32_t max_head_bytes = 8 * 1024;
// How long a look-up may be cached: short, so that callers leave a VM that has ended soon.
constexpr seconds lookup_ttl{1};

asio::awaitable<void> serve_connection(node_core& core, std::shared_ptr<tcp::socket> socket,
                                       simple_handler handler) {
    set_tcp_options(*socket, client_silence);
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive) {
        const socket_timeout timeout(core, socket, idle_time);
        http::request_parser<http::empty_body> parser;
        parser.header_limit(max_head_bytes);
        error_code error;
        co_await http::async_read(*socket, buffer, parser, capture_error(error));
        if (!error) {
            simple_response response = handler(parser.get());
            response.keep_alive(parser.get().keep_alive());
            response.prepare_payload();
            co_await http::async_write(*socket, response, capture_error(error));
        }
        keep_alive = !error && parser.get().keep_alive();
    }
    error_code ignored;
    socket->shutdown(tcp::socket::shutdown_send, ignored);
}

simple_response make_response(const simple_request& request, http::status status, std::string body) {
    simple_response response(status, request.version());
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(body);
    return response;
}

std::string_view target_of(const simple_request& request) {
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
    if (!core.platform.is_readiness_check(target_of(request))) {
        return make_response(request, http::status::not_found, "not found\n");
    }
    return is_accepting(core) ? make_response(request, http::status::ok, "ready\n")
                              : make_response(request, http::status::service_unavailable, "not ready\n");
}

std::vector<socket_address> choose_vm_addresses(const node_core& core, const std::string& region) {
    const instant now = now_of(core);
    std::vector<socket_address> near;
    std::vector<socket_address> all;
    const auto add = [&](const socket_address& address, const std::string& vm_region) {
        all.push_back(address);
        if (vm_region == region) {
            near.push_back(address);
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
    return near.empty() ? all : near;
}

simple_response answer_lookup(const node_core& core, const simple_request& request) {
    const auto question = core.platform.parse_lookup(target_of(request));
    if (!question) {
        return make_response(request, http::status::not_found, "not found\n");
    }
    // The most that a look-up names.
    constexpr std::size_t max_addresses = 64;
    std::vector<socket_address> addresses = choose_vm_addresses(core, question->region);
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
    if (target_of(request) != "/metrics") {
        return make_response(request, http::status::not_found, "not found\n");
    }
    return make_response(request, http::status::ok, render(core.metrics));
}

} // namespace cassiaspan
