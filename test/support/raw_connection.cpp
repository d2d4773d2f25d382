#include "raw_connection.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cassiaspan::test {

raw_connection::raw_connection(const socket_address& server)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(server.port);
    inet_pton(AF_INET, server.host.c_str(), &native.sin_addr);
    static_cast<void>(connect(this->descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native));
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)) {}

raw_connection::~raw_connection() {
    if (this->descriptor >= 0) {
        close(this->descriptor);
    }
}

bool raw_connection::send(const std::string& bytes) const {
    return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
}

std::string raw_connection::receive(milliseconds quiet, const std::string& enough) const {
    std::string text;
    std::array<char, 65536> buffer{};
    pollfd entry{this->descriptor, POLLIN, 0};
    while (poll(&entry, 1, static_cast<int>(quiet.count())) > 0) {
        const ssize_t size = recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(size));
        if (!enough.empty() && text.find(enough) != std::string::npos) {
            break;
        }
    }
    return text;
}

bool raw_connection::is_closed() const {
    pollfd entry{this->descriptor, POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0;
}

} // namespace cassiaspan::test
