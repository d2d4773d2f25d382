// A non-blocking TCP socket that carries one nghttp2 session.
#pragma once

#include "address.h"
#include "h2_session.h"

#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace cassiaspan {

// Owns a file descriptor.
class file_descriptor {
public:
    explicit file_descriptor(int descriptor = -1) : number(descriptor) {}
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;
    file_descriptor(file_descriptor&& other) noexcept : number(std::exchange(other.number, -1)) {}
    file_descriptor& operator=(file_descriptor&& other) noexcept {
        std::swap(this->number, other.number);
        return *this;
    }
    ~file_descriptor();
    [[nodiscard]] int get() const { return this->number; }

private:
    int number;
};

// Starts to listen; the error says why it could not.
[[nodiscard]] tl::expected<file_descriptor, std::string> listen_on(const socket_address& address);
// Starts to connect from the IP address `source_host` without waiting; an invalid descriptor on failure.
[[nodiscard]] file_descriptor start_connect(const socket_address& address, const std::string& source_host);
// Accepts one waiting connection; an invalid descriptor when there is none.
[[nodiscard]] file_descriptor accept_from(const file_descriptor& listener);
// Returns the port a socket is bound to.
[[nodiscard]] std::uint16_t local_port(const file_descriptor& socket);

// Bytes moved over a connection.
struct byte_counts {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

// A connection: socket, session and what is still to be written.
struct stream_connection {
    file_descriptor socket;
    std::unique_ptr<h2_session> session;
    std::string unsent;
};

// Reads what has come and gives it to the session; false when the connection is over.
[[nodiscard]] bool read_input(stream_connection& connection, byte_counts& counts);
// Writes what the session has to send, as far as the socket takes it; false when the connection is over.
[[nodiscard]] bool write_output(stream_connection& connection, byte_counts& counts);

} // namespace cassiaspan
