// What the cases of this review share: their options, their record, and a caller that keeps its connection.
#pragma once

#include "node_harness.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace cassiaspan::review {

using nlohmann::json;

// The exit codes that the review asks for.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

// Returns whether the case runs with its disruption.
inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Writes lines with the time since the start to the record of the case and to standard output. Thread-safe.
class case_record {
public:
    explicit case_record(const std::string& path) : file(path, std::ios::trunc) {}

    void write(const std::string& text) {
        const std::lock_guard lock(this->mutex);
        const std::chrono::duration<double> time = std::chrono::steady_clock::now() - this->started_at;
        char prefix[32];
        std::snprintf(prefix, sizeof prefix, "%8.3f s  ", time.count());
        this->file << prefix << text << "\n" << std::flush;
    }

    // Also written to standard output.
    void conclude(const std::string& text) {
        this->write(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();
};

// How a request on a kept connection ended.
struct exchange_result {
    // 0 if no complete answer arrived.
    unsigned status = 0;
    std::string error;
};

// A caller with one connection to a VM, which it keeps for all its requests.
class kept_connection {
public:
    explicit kept_connection(const socket_address& vm) : socket(this->context) {
        this->socket.connect(to_tcp_endpoint(vm));
    }

    exchange_result send(const http::request<http::string_body>& request, int timeout_ms) {
        std::ostringstream text;
        text << request;
        return this->send(text.str(), timeout_ms);
    }

    // Sends the bytes of a request.
    exchange_result send(const std::string& request, int timeout_ms) {
        exchange_result result;
        error_code error;
        asio::write(this->socket, asio::buffer(request), error);
        http::response_parser<http::string_body> parser;
        parser.body_limit(64 * 1024 * 1024);
        pollfd readable{this->socket.native_handle(), POLLIN, 0};
        if (!error && ::poll(&readable, 1, timeout_ms) == 0) {
            result.error = "no answer within " + std::to_string(timeout_ms) + " ms";
            return result;
        }
        if (!error) {
            http::read(this->socket, this->buffer, parser, error);
        }
        if (error) {
            result.error = error.message();
            return result;
        }
        result.status = parser.get().result_int();
        this->keep_alive = parser.get().keep_alive();
        return result;
    }

    [[nodiscard]] bool may_be_used_again() const { return this->keep_alive; }

private:
    asio::io_context context;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
};

// Returns a request with the headers that all callers of the platform send.
inline http::request<http::string_body> make_request(http::verb method, const std::string& target,
                                                     const std::string& id, int deadline_ms) {
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, "app.example");
    request.set("Cassiaspan-Request-Id", id);
    request.set("Cassiaspan-Deadline-Ms", std::to_string(deadline_ms));
    request.set(http::field::authorization, "Bearer key-1");
    return request;
}

inline json make_route(const std::string& prefix, const std::string& kind, int timeout_ms,
                       const std::string& service = "search") {
    return {{"resource-type", "routes"},
            {"metadata", {{"name", "route of " + prefix}}},
            {"spec",
             {{"host", "app.example"},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout-ms", timeout_ms},
              {"target-latency-ms", timeout_ms / 2},
              {"priority", 1},
              {"service", service},
              {"max-attempts", 2},
              {"public", false},
              {"affinity", false},
              {"allowed-regions", json::array()}}}};
}

// Returns a configuration with the given routes and services, and one tenant with the key "key-1".
inline std::string make_configuration(unsigned version, const json& routes, std::size_t max_header_bytes,
                                      const std::vector<std::string>& services = {"search"}) {
    char digits[16];
    std::snprintf(digits, sizeof digits, "%08x", version);
    json document;
    document["version"] = digits;
    json& list = document["resources"];
    list = routes;
    for (const std::string& service : services) {
        list.push_back({{"resource-type", "services"},
                        {"metadata", {{"name", service}}},
                        {"spec",
                         {{"health-path", "/healthz"},
                          {"max-connections", 330},
                          {"cold-start-s", 0.5},
                          {"cold-per-s", 50}}}});
    }
    list.push_back({{"resource-type", "tenants"},
                    {"metadata", {{"name", "hotel"}}},
                    {"spec", {{"api-keys", {"key-1"}}, {"rate-per-s", 0}, {"burst", 0}}}});
    list.push_back({{"resource-type", "limits"},
                    {"metadata", json::object()},
                    {"spec",
                     {{"max-header-bytes", max_header_bytes},
                      {"max-body-bytes", 67'108'864},
                      {"header-timeout-ms", 3000},
                      {"idle-timeout-ms", 15'000}}}});
    return document.dump();
}

// A target that reads headers of any size and answers every request at once. Its entry is that of the
// service.
class plain_target {
public:
    // `put` writes an item to the store.
    plain_target(const std::function<void(const std::string&, const std::string&)>& put,
                 const std::string& ip, const std::string& id, const std::string& service)
        : acceptor(this->context, {asio::ip::make_address(ip), 0}) {
        const json entry = {
            {"address", ip + ":" + std::to_string(this->acceptor.local_endpoint().port())},
            {"info", {{"service", service}, {"version", "v1"}, {"zone", "north-a"}, {"slots", 8}}},
            {"status", {{"state", "ready"}, {"sequence", 1}, {"cold-remaining-ms", 0}}}};
        put("servers/" + id, entry.dump());
        asio::co_spawn(this->context, this->accept_connections(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~plain_target() {
        this->context.stop();
        this->thread.join();
    }
    plain_target(const plain_target&) = delete;
    plain_target& operator=(const plain_target&) = delete;
    plain_target(plain_target&&) = delete;
    plain_target& operator=(plain_target&&) = delete;

private:
    asio::awaitable<void> accept_connections() {
        for (;;) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->context, serve(std::move(socket)), asio::detached);
        }
    }

    // Serves requests without a body.
    static asio::awaitable<void> serve(tcp::socket socket) {
        const std::string id_field = "Cassiaspan-Request-Id: ";
        std::string received;
        error_code error;
        for (;;) {
            const std::size_t size = co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                                                     "\r\n\r\n", capture_error(error));
            if (error) {
                co_return;
            }
            const std::size_t begin = received.find(id_field) + id_field.size();
            const std::string id = received.substr(begin, received.find("\r\n", begin) - begin);
            received.erase(0, size);
            const std::string response = "HTTP/1.1 200 OK\r\nCassiaspan-Request-Id: " + id +
                                         "\r\nCassiaspan-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(response), capture_error(error));
        }
    }

    asio::io_context context{1};
    tcp::acceptor acceptor;
    std::thread thread;
};

constexpr double link_bits_per_second = 10e6;

// The link of one machine to the platform's store: passes on at most link_bits_per_second each way, for all
// connections together.
class machine_link {
public:
    machine_link(const std::string& ip, socket_address store_in)
        : store(std::move(store_in)), acceptor(this->context, {asio::ip::make_address(ip), 0}) {
        asio::co_spawn(this->context, this->accept_connections(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~machine_link() {
        this->context.stop();
        this->thread.join();
    }
    machine_link(const machine_link&) = delete;
    machine_link& operator=(const machine_link&) = delete;
    machine_link(machine_link&&) = delete;
    machine_link& operator=(machine_link&&) = delete;

    [[nodiscard]] socket_address address() const {
        const auto endpoint = this->acceptor.local_endpoint();
        return {endpoint.address().to_string(), endpoint.port()};
    }

private:
    using time_point = std::chrono::steady_clock::time_point;

    asio::awaitable<void> accept_connections() {
        for (;;) {
            auto vm = std::make_shared<tcp::socket>(this->context);
            error_code error;
            co_await this->acceptor.async_accept(*vm, capture_error(error));
            auto platform = std::make_shared<tcp::socket>(this->context);
            if (!error) {
                co_await platform->async_connect(to_tcp_endpoint(this->store), capture_error(error));
            }
            if (!error) {
                asio::co_spawn(this->context, this->pass_on(vm, platform, this->up_free_at), asio::detached);
                asio::co_spawn(this->context, this->pass_on(platform, vm, this->down_free_at),
                               asio::detached);
            }
        }
    }

    asio::awaitable<void> pass_on(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                                  time_point& free_at) {
        constexpr double bits_per_byte = 8;
        std::vector<char> bytes(4096);
        error_code error;
        for (;;) {
            const std::size_t count =
                co_await from->async_read_some(asio::buffer(bytes), capture_error(error));
            if (error) {
                break;
            }
            const std::chrono::duration<double> time(static_cast<double>(count) * bits_per_byte /
                                                     link_bits_per_second);
            free_at = std::max(free_at, std::chrono::steady_clock::now()) +
                      std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
            asio::steady_timer timer(this->context);
            timer.expires_at(free_at);
            co_await timer.async_wait(capture_error(error));
            co_await asio::async_write(*to, asio::buffer(bytes.data(), count), capture_error(error));
            if (error) {
                break;
            }
        }
        from->close(error);
        to->close(error);
    }

    socket_address store;
    asio::io_context context{1};
    tcp::acceptor acceptor;
    time_point up_free_at;
    time_point down_free_at;
    std::thread thread;
};

// Runs the case and turns exceptions into the exit code for a case that could not run.
inline int run_case(const std::function<int()>& body) {
    try {
        return body();
    } catch (const std::exception& error) {
        std::cout << "could not run: " << error.what() << std::endl;
        return could_not_run;
    }
}

} // namespace cassiaspan::review
