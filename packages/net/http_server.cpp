#include "http_server.h"

#include "socket_finder.h"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <openssl/opensslv.h>
#include <sys/socket.h>
#include <vector>

namespace cassiaspan {

namespace {

constexpr milliseconds crowding_scan_interval{20};
// A connection is left alone for this long after it was opened or answered.
constexpr milliseconds min_wait_before_close{30};
// A body that comes more slowly than this may be cut when workers run low.
constexpr double min_body_bytes_per_second = 4096;
// One worker in this many is kept free.
constexpr std::size_t reserve_divisor = 8;

std::size_t reserve_of(std::size_t workers) {
    return std::max<std::size_t>(1, workers / reserve_divisor);
}

std::string listen_text(const http_server_options& options) {
    const bool v6 = options.address.host.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + options.address.host + "]" : options.address.host;
    return host + ":" + std::to_string(options.address.port) +
           (options.tls_certificate_file.empty() ? "" : "s");
}

// Options as CivetWeb takes them: names and values in turn.
std::vector<std::string> render_options(const http_server_options& options) {
    std::vector<std::string> texts{"listening_ports",
                                   listen_text(options),
                                   "num_threads",
                                   std::to_string(options.workers),
                                   "connection_queue",
                                   "1024",
                                   "enable_keep_alive",
                                   "yes",
                                   "keep_alive_timeout_ms",
                                   std::to_string(options.idle_timeout.count()),
                                   "request_timeout_ms",
                                   std::to_string(options.idle_timeout.count()),
                                   "tcp_nodelay",
                                   "1",
                                   "max_request_size",
                                   std::to_string(options.max_header_bytes),
                                   "decode_url",
                                   "no",
                                   "enable_directory_listing",
                                   "no",
                                   "cgi_pattern",
                                   "",
                                   "ssi_pattern",
                                   "",
                                   "linger_timeout_ms",
                                   "500"};
    if (!options.tls_certificate_file.empty()) {
        texts.insert(texts.end(),
                     {"ssl_certificate", options.tls_certificate_file, "ssl_protocol_version", "4"});
    }
    return texts;
}

socket_address caller_of(const mg_connection* connection) {
    const mg_request_info* info = mg_get_request_info(connection);
    return info == nullptr ? socket_address{}
                           : socket_address{static_cast<const char*>(info->remote_addr),
                                            static_cast<std::uint16_t>(info->remote_port)};
}

http_server* server_of(const mg_connection* connection) {
    return static_cast<http_server*>(mg_get_user_data(mg_get_context(connection)));
}

} // namespace

struct http_server::callbacks {
    static int begin(mg_connection* connection) {
        http_server* server = server_of(connection);
        server->note_caller(connection);
        server->set_phase(connection, phase::reading_body);
        const int status = server->handler(*server, connection, *mg_get_request_info(connection));
        server->set_phase(connection, phase::waiting);
        return status;
    }
    static int init(const mg_connection* connection, void** /*data*/) {
        http_server* server = server_of(connection);
        const std::scoped_lock lock(server->mutex);
        server->open[connection] = {{}, phase::waiting, server->time.now(), 0, false};
        return 0;
    }
    static void close(const mg_connection* connection) {
        http_server* server = server_of(connection);
        const std::scoped_lock lock(server->mutex);
        server->open.erase(connection);
    }
    static int discard_message(const mg_connection* /*connection*/, const char* /*message*/) { return 1; }
};

http_server::http_server(http_handler handler_in, const clock& clock_in, std::size_t worker_count)
    : handler(std::move(handler_in)), time(clock_in), workers(worker_count) {}

tl::expected<std::unique_ptr<http_server>, std::string>
http_server::start(const http_server_options& options, http_handler handler, const clock& time) {
    // The library is initialised once: without TLS at first, it would never have it.
    mg_init_library(MG_FEATURES_TLS);
    if (!options.tls_certificate_file.empty() && OPENSSL_VERSION_MAJOR >= 3) {
        // It looks up SSL_get_peer_certificate, which OpenSSL 3 does not export, and would crash at the first
        // caller.
        return tl::make_unexpected("CivetWeb 1.15 cannot serve TLS with OpenSSL 3");
    }
    std::unique_ptr<http_server> server(new http_server(std::move(handler), time, options.workers));
    const std::vector<std::string> texts = render_options(options);
    std::vector<const char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (const std::string& text : texts) {
        pointers.push_back(text.c_str());
    }
    pointers.push_back(nullptr);
    mg_callbacks hooks{};
    hooks.begin_request = callbacks::begin;
    hooks.init_connection = callbacks::init;
    hooks.connection_close = callbacks::close;
    hooks.log_message = callbacks::discard_message;
    server->context = mg_start(&hooks, server.get(), pointers.data());
    if (server->context == nullptr) {
        return tl::make_unexpected("cannot listen on " + texts[1]);
    }
    server->crowding_thread = std::thread([raw = server.get()] { raw->watch_crowding(); });
    return server;
}

http_server::~http_server() {
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->crowding_thread.joinable()) {
        this->crowding_thread.join();
    }
    if (this->context != nullptr) {
        mg_stop(this->context);
    }
}

std::uint16_t http_server::port() const {
    std::array<mg_server_port, 1> ports{};
    return mg_get_server_ports(this->context, 1, ports.data()) == 1
               ? static_cast<std::uint16_t>(ports[0].port)
               : std::uint16_t{0};
}

void http_server::note_caller(const mg_connection* connection) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->open.find(connection);
    if (found != this->open.end() && found->second.caller.port == 0) {
        found->second.caller = caller_of(connection);
    }
}

void http_server::set_phase(const mg_connection* connection, phase stage) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->open.find(connection);
    if (found != this->open.end()) {
        found->second.stage = stage;
        found->second.since = this->time.now();
        found->second.body_bytes = 0;
    }
}

void http_server::note_body_progress(const mg_connection* connection, std::size_t bytes) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->open.find(connection);
    if (found != this->open.end()) {
        found->second.body_bytes += bytes;
    }
}

void http_server::note_body_done(const mg_connection* connection) {
    this->set_phase(connection, phase::answering);
}

std::size_t http_server::connections() const {
    const std::scoped_lock lock(this->mutex);
    return this->open.size();
}

bool http_server::is_crowded() const {
    return this->connections() + reserve_of(this->workers) > this->workers;
}

bool http_server::may_close(const connection_state& state, instant now) const {
    const std::chrono::duration<double> age = now - state.since;
    if (state.closed || age < min_wait_before_close) {
        return false;
    }
    if (state.stage == phase::reading_body) {
        return static_cast<double>(state.body_bytes) < min_body_bytes_per_second * age.count();
    }
    return state.stage == phase::waiting;
}

void http_server::watch_crowding() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->wake.wait_for(lock, crowding_scan_interval);
        this->close_idle_connections();
    }
}

// Runs under the lock. A connection leaves `open` under it before its socket is closed, so a socket found is
// its own.
void http_server::close_idle_connections() {
    const std::size_t keep = this->workers - reserve_of(this->workers);
    const auto closing = static_cast<std::size_t>(std::count_if(
        this->open.begin(), this->open.end(), [](const auto& entry) { return entry.second.closed; }));
    if (this->open.size() <= keep + closing) {
        this->silent_since.clear();
        return;
    }
    const instant now = this->time.now();
    const std::size_t surplus = this->open.size() - keep - closing;
    this->close_silent(surplus - this->close_waiting(surplus, now), now);
}

// Closes connections between requests and those with slow bodies; returns how many.
std::size_t http_server::close_waiting(std::size_t surplus, instant now) {
    std::vector<connection_state*> candidates;
    for (auto& [connection, state] : this->open) {
        if (state.caller.port != 0 && this->may_close(state, now)) {
            candidates.push_back(&state);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const connection_state* a, const connection_state* b) { return a->since < b->since; });
    candidates.resize(std::min(candidates.size(), surplus));
    for (connection_state* state : candidates) {
        if (const auto socket = find_socket(state->caller, {})) {
            state->closed = true;
            shutdown(*socket, SHUT_RD);
        }
    }
    return candidates.size();
}

// Closes connections that have not sent a whole request head. One that waits for a worker with bytes unread
// is none of them.
void http_server::close_silent(std::size_t surplus, instant now) {
    std::map<socket_address, instant> still_silent;
    std::vector<std::pair<instant, int>> candidates;
    for (const open_socket& socket : list_accepted(this->port())) {
        const bool known = std::any_of(this->open.begin(), this->open.end(),
                                       [&](const auto& entry) { return entry.second.caller == socket.peer; });
        if (known || socket.unread_bytes > 0) {
            continue;
        }
        const auto former = this->silent_since.find(socket.peer);
        const instant since = former == this->silent_since.end() ? now : former->second;
        still_silent[socket.peer] = since;
        if (now - since >= min_wait_before_close) {
            candidates.emplace_back(since, socket.descriptor);
        }
    }
    this->silent_since = std::move(still_silent);
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), surplus));
    for (const auto& [since, descriptor] : candidates) {
        shutdown(descriptor, SHUT_RD);
    }
}

} // namespace cassiaspan
