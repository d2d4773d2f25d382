#include "http_client.h"

#include "socket_finder.h"

#include <array>
#include <civetweb.h>
#include <cstring>
#include <strings.h>

namespace cassiaspan {

namespace {

// Sockets of all pools. Two pools may lead to one server, so a new socket must be unknown to every one of
// them, and only one connection to a server is opened at a time.
struct socket_book {
    std::mutex mutex;
    std::set<int> known;
    std::map<socket_address, std::shared_ptr<std::mutex>> opening;
};

socket_book& book() {
    static socket_book instance;
    return instance;
}

std::shared_ptr<std::mutex> opening_lock(const socket_address& server) {
    const std::scoped_lock lock(book().mutex);
    auto& entry = book().opening[server];
    if (!entry) {
        entry = std::make_shared<std::mutex>();
    }
    return entry;
}

// CivetWeb's client reads at most this much of status line and headers, in bytes.
constexpr std::size_t error_text_bytes = 256;

bool has_token(const http_response_head& head, const char* name, const char* token) {
    for (const http_header& header : head.headers) {
        if (strcasecmp(header.name.c_str(), name) == 0 &&
            strcasestr(header.value.c_str(), token) != nullptr) {
            return true;
        }
    }
    return false;
}

http_response_head to_head(const mg_response_info& info) {
    http_response_head head;
    head.status = info.status_code;
    for (int i = 0; i < info.num_headers; ++i) {
        head.headers.push_back({info.http_headers[i].name, info.http_headers[i].value});
    }
    head.chunked = has_token(head, "Transfer-Encoding", "chunked");
    if (info.content_length >= 0 && !head.chunked) {
        head.content_length = info.content_length;
    }
    const bool old_version = info.http_version == nullptr || std::string_view(info.http_version) == "1.0";
    head.closes = old_version || has_token(head, "Connection", "close");
    return head;
}

std::string render_request(const http_call& call, const socket_address& server) {
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + server.host + ":" +
                       std::to_string(server.port) + "\r\nContent-Type: " + call.content_type +
                       "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n";
    for (const http_header& header : call.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "\r\n" + call.body;
}

tl::expected<std::string, http_failure> read_short_body(http_connection& connection) {
    std::string body;
    std::array<char, 16384> buffer{};
    while (body.size() <= max_short_answer_bytes) {
        const int count = connection.read(buffer.data(), buffer.size());
        if (count < 0) {
            return tl::make_unexpected(http_failure::garbled);
        }
        if (count == 0) {
            return body;
        }
        body.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return tl::make_unexpected(http_failure::garbled);
}

} // namespace

void http_connection::closer::operator()(mg_connection* handle) const {
    mg_close_connection(handle);
}

http_connection::~http_connection() {
    if (!this->descriptor || !this->handle) {
        return;
    }
    // Closed under the lock, so that the number is not taken by a new socket and then forgotten.
    const std::scoped_lock lock(book().mutex);
    book().known.erase(*this->descriptor);
    this->handle.reset();
}

tl::expected<http_connection, http_failure> http_connection::open(const socket_address& server) {
    const auto one_at_a_time = opening_lock(server);
    const std::scoped_lock opening(*one_at_a_time);
    std::array<char, error_text_bytes> text{};
    mg_connection* opened = mg_connect_client(server.host.c_str(), server.port, 0, text.data(), text.size());
    if (opened == nullptr) {
        return tl::make_unexpected(http_failure::connecting);
    }
    http_connection connection(opened);
    const std::scoped_lock lock(book().mutex);
    connection.descriptor = find_socket(server, book().known);
    if (connection.descriptor) {
        book().known.insert(*connection.descriptor);
    }
    return connection;
}

void http_connection::close() {
    const http_connection closed = std::move(*this);
}

bool http_connection::write(std::string_view bytes) {
    if (bytes.empty()) {
        return true;
    }
    return mg_write(this->handle.get(), bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

tl::expected<http_response_head, http_failure> http_connection::read_head(milliseconds timeout) {
    std::array<char, error_text_bytes> text{};
    if (mg_get_response(this->handle.get(), text.data(), text.size(), static_cast<int>(timeout.count())) <
        0) {
        return tl::make_unexpected(http_failure::waiting);
    }
    const mg_response_info* info = mg_get_response_info(this->handle.get());
    if (info == nullptr || info->status_code < 100 || info->status_code > 599) {
        return tl::make_unexpected(http_failure::garbled);
    }
    return to_head(*info);
}

int http_connection::read(char* buffer, std::size_t size) {
    return mg_read(this->handle.get(), buffer, size);
}

tl::expected<pooled_connection, http_failure> connection_pool::take(nanoseconds max_idle, instant now) {
    if (auto kept = this->take_idle(max_idle, now)) {
        return pooled_connection{std::move(*kept), true};
    }
    auto opened = http_connection::open(this->server);
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    return pooled_connection{std::move(*opened), false};
}

std::optional<http_connection> connection_pool::take_idle(nanoseconds max_idle, instant now) {
    const std::scoped_lock lock(this->mutex);
    while (!this->idle.empty()) {
        idle_connection candidate = std::move(this->idle.back());
        this->idle.pop_back();
        const auto socket = candidate.connection.socket();
        // A byte that waits on an idle connection belongs to no request of ours, or the server has closed it.
        if (now - candidate.since < max_idle && socket && !is_readable(*socket)) {
            return std::move(candidate.connection);
        }
    }
    return std::nullopt;
}

void connection_pool::keep(http_connection connection, instant now) {
    const std::scoped_lock lock(this->mutex);
    if (this->idle.size() < max_idle_connections) {
        this->idle.push_back({std::move(connection), now});
    }
}

tl::expected<http_answer, http_failure> exchange(connection_pool& pool, watchdog& guard,
                                                 const http_call& call, const clock& time) {
    constexpr seconds max_idle{5};
    const instant deadline = time.now() + call.timeout;
    auto taken = pool.take(max_idle, time.now());
    if (!taken) {
        return tl::make_unexpected(taken.error());
    }
    http_connection connection = std::move(taken->connection);
    const auto socket = connection.socket();
    const auto guarded = guard.watch(socket.value_or(-1), deadline);
    const bool sent = connection.write(render_request(call, pool.address()));
    auto head = sent ? connection.read_head(call.timeout) : tl::make_unexpected(http_failure::sending);
    auto body = head ? read_short_body(connection) : tl::make_unexpected(head.error());
    if (!guarded.finish() || !body || head->closes) {
        connection.close();
    } else {
        pool.keep(std::move(connection), time.now());
    }
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    if (head->content_length && static_cast<std::int64_t>(body->size()) != *head->content_length) {
        return tl::make_unexpected(http_failure::garbled);
    }
    return http_answer{head->status, std::move(*body)};
}

} // namespace cassiaspan
