#include "stream_socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaspan {

namespace {

constexpr int listen_backlog = 256;

struct native_address {
    sockaddr_storage storage{};
    socklen_t size = 0;
};

native_address to_native(const socket_address& address) {
    native_address native;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&native.storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        native.size = sizeof *v4;
        return native;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&native.storage);
    inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    native.size = sizeof *v6;
    return native;
}

void set_no_delay(int descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

file_descriptor::~file_descriptor() {
    if (this->number >= 0) {
        close(this->number);
    }
}

tl::expected<file_descriptor, std::string> listen_on(const socket_address& address) {
    const native_address native = to_native(address);
    file_descriptor socket(::socket(native.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(socket.get(), reinterpret_cast<const sockaddr*>(&native.storage), native.size) != 0 ||
        listen(socket.get(), listen_backlog) != 0) {
        return tl::make_unexpected("cannot listen on " + address.host + ":" + std::to_string(address.port) +
                                   ": " + std::strerror(errno)); // NOLINT(concurrency-mt-unsafe): at start
    }
    return socket;
}

file_descriptor start_connect(const socket_address& address, const std::string& source_host) {
    const native_address native = to_native(address);
    file_descriptor socket(::socket(native.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_no_delay(socket.get());
    const native_address source = to_native({source_host, 0});
    if (bind(socket.get(), reinterpret_cast<const sockaddr*>(&source.storage), source.size) != 0) {
        return file_descriptor{};
    }
    const int result = connect(socket.get(), reinterpret_cast<const sockaddr*>(&native.storage), native.size);
    if (result != 0 && errno != EINPROGRESS) {
        return file_descriptor{};
    }
    return socket;
}

file_descriptor accept_from(const file_descriptor& listener) {
    file_descriptor socket(accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.get() >= 0) {
        set_no_delay(socket.get());
    }
    return socket;
}

std::uint16_t local_port(const file_descriptor& socket) {
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    getsockname(socket.get(), reinterpret_cast<sockaddr*>(&storage), &size);
    // The port stands at the same place for both families.
    return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

bool read_input(stream_connection& connection, byte_counts& counts) {
    std::array<char, 16384> buffer{};
    while (true) {
        const ssize_t size = recv(connection.socket.get(), buffer.data(), buffer.size(), 0);
        if (size < 0) {
            return would_block();
        }
        if (size == 0) {
            return false;
        }
        counts.received += static_cast<std::uint64_t>(size);
        if (!connection.session->receive({buffer.data(), static_cast<std::size_t>(size)})) {
            return false;
        }
    }
}

bool write_output(stream_connection& connection, byte_counts& counts) {
    connection.unsent += connection.session->take_output();
    while (!connection.unsent.empty()) {
        const ssize_t size =
            send(connection.socket.get(), connection.unsent.data(), connection.unsent.size(), MSG_NOSIGNAL);
        if (size < 0) {
            return would_block() || errno == ENOTCONN;
        }
        counts.sent += static_cast<std::uint64_t>(size);
        connection.unsent.erase(0, static_cast<std::size_t>(size));
    }
    return true;
}

} // namespace cassiaspan
