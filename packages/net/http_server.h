// An HTTP server (CivetWeb) with everything but the handler turned off, that idle and slow callers cannot
// fill up.
#pragma once

#include "address.h"
#include "clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tl/expected.hpp>

struct mg_connection;
struct mg_context;
struct mg_request_info;

namespace cassiaspan {

// How a server listens.
struct http_server_options {
    socket_address address;
    std::size_t workers = 0;
    milliseconds idle_timeout{};
    std::size_t max_header_bytes = 0;
    // PEM file with certificate and key; empty for plain HTTP.
    std::string tls_certificate_file;
};

class http_server;

// Answers one request on a connection of the server and returns its status code.
using http_handler = std::function<int(http_server&, mg_connection*, const mg_request_info&)>;

// A running server. A connection holds one worker; when free workers run low, connections that wait for their
// next request, or send a body too slowly, are closed, oldest first.
class http_server {
public:
    // Starts to listen, or says why it cannot.
    static tl::expected<std::unique_ptr<http_server>, std::string>
    start(const http_server_options& options, http_handler handler, const clock& time);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // The port in use, also when the options asked for port 0.
    [[nodiscard]] std::uint16_t port() const;
    // Tells that a part of a request's body has come.
    void note_body_progress(const mg_connection* connection, std::size_t bytes);
    // Tells that the body has been read whole, or that there is none.
    void note_body_done(const mg_connection* connection);
    // Number of open connections.
    [[nodiscard]] std::size_t connections() const;
    // Whether so many workers are held that answers should end their connections.
    [[nodiscard]] bool is_crowded() const;

private:
    enum class phase { waiting, reading_body, answering };
    struct connection_state {
        // Known from the first request on.
        socket_address caller;
        phase stage = phase::waiting;
        instant since;
        std::size_t body_bytes = 0;
        bool closed = false;
    };
    struct callbacks;

    http_server(http_handler handler_in, const clock& clock_in, std::size_t worker_count);
    void note_caller(const mg_connection* connection);
    void set_phase(const mg_connection* connection, phase stage);
    void watch_crowding();
    void close_idle_connections();
    [[nodiscard]] std::size_t close_waiting(std::size_t surplus, instant now);
    void close_silent(std::size_t surplus, instant now);
    [[nodiscard]] bool may_close(const connection_state& state, instant now) const;

    http_handler handler;
    const clock& time;
    std::size_t workers;
    mg_context* context = nullptr;
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::map<const mg_connection*, connection_state> open;
    // Connections that have not begun a request, by their far ends, and since when they are known.
    std::map<socket_address, instant> silent_since;
    bool stopping = false;
    std::thread crowding_thread;
};

} // namespace cassiaspan
