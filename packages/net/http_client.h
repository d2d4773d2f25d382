// HTTP client connections (CivetWeb), kept in a pool per server and cut at a deadline.
#pragma once

#include "address.h"
#include "clock.h"
#include "watchdog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

struct mg_connection;

namespace cassiaspan {

// One header line.
struct http_header {
    std::string name;
    std::string value;
    auto operator<=>(const http_header&) const = default;
};

// Status line and headers of an answer.
struct http_response_head {
    int status = 0;
    std::vector<http_header> headers;
    // Announced size of the body in bytes; nothing when it is chunked or ends with the connection.
    std::optional<std::int64_t> content_length;
    bool chunked = false;
    bool closes = false;
};

// Where an exchange failed. Before `sending`, no byte of the request can have left.
enum class http_failure { connecting, sending, waiting, garbled };

// One connection to a server. Closed on destruction.
class http_connection {
public:
    // Connects to the server.
    static tl::expected<http_connection, http_failure> open(const socket_address& server);

    http_connection(http_connection&&) noexcept = default;
    http_connection& operator=(http_connection&&) = delete;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    ~http_connection();

    // Closes the connection now.
    void close();
    // Writes all of `bytes`; false when the connection broke.
    [[nodiscard]] bool write(std::string_view bytes);
    // Waits for the status line and headers.
    [[nodiscard]] tl::expected<http_response_head, http_failure> read_head(milliseconds timeout);
    // Reads part of the body into `buffer`. Returns the number of bytes, 0 at the end, below 0 on failure.
    [[nodiscard]] int read(char* buffer, std::size_t size);
    // The socket, for the watchdog; nothing when it could not be found.
    [[nodiscard]] std::optional<int> socket() const { return this->descriptor; }

private:
    struct closer {
        void operator()(mg_connection* handle) const;
    };
    explicit http_connection(mg_connection* opened) : handle(opened) {}

    std::unique_ptr<mg_connection, closer> handle;
    std::optional<int> descriptor;
};

// A connection out of a pool, with whether it was used before.
struct pooled_connection {
    http_connection connection;
    bool reused = false;
};

// Kept connections to one server.
class connection_pool {
public:
    explicit connection_pool(socket_address address) : server(std::move(address)) {}

    // The server that the connections lead to.
    [[nodiscard]] const socket_address& address() const { return this->server; }
    // Returns a kept connection that has been idle for less than `max_idle`, or a new one.
    [[nodiscard]] tl::expected<pooled_connection, http_failure> take(nanoseconds max_idle, instant now);
    // Keeps a connection whose last exchange ended cleanly.
    void keep(http_connection connection, instant now);

private:
    struct idle_connection {
        http_connection connection;
        instant since;
    };
    // Connections beyond these are closed when they come back.
    static constexpr std::size_t max_idle_connections = 64;

    std::optional<http_connection> take_idle(nanoseconds max_idle, instant now);

    socket_address server;
    std::mutex mutex;
    std::vector<idle_connection> idle;
};

// An answer with a short body.
struct http_answer {
    int status = 0;
    std::string body;
    auto operator<=>(const http_answer&) const = default;
};

// A request with a short body.
struct http_call {
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    milliseconds timeout{};
    std::vector<http_header> headers;
};

// Largest body that `exchange` reads, in bytes.
constexpr std::size_t max_short_answer_bytes = 8U << 20U;

// Sends a request with a short body and reads the whole answer, within the call's time-out.
[[nodiscard]] tl::expected<http_answer, http_failure> exchange(connection_pool& pool, watchdog& guard,
                                                               const http_call& call, const clock& time);

} // namespace cassiaspan
