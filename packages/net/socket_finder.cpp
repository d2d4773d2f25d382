#include "socket_finder.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstring>
#include <dirent.h>
#include <memory>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

using name_call = int (*)(int, sockaddr*, socklen_t*);

// Returns the near or the far end of a socket; nothing for other files.
std::optional<socket_address> end_of(int descriptor, name_call call) {
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (call(descriptor, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
        return std::nullopt;
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        const auto* address = reinterpret_cast<const sockaddr_in*>(&storage);
        inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
        return socket_address{text.data(), ntohs(address->sin_port)};
    }
    if (storage.ss_family == AF_INET6) {
        const auto* address = reinterpret_cast<const sockaddr_in6*>(&storage);
        inet_ntop(AF_INET6, &address->sin6_addr, text.data(), text.size());
        return socket_address{text.data(), ntohs(address->sin6_port)};
    }
    return std::nullopt;
}

// Calls `visit` with each open descriptor until it returns true.
template <class Visitor> void visit_descriptors(Visitor&& visit) {
    const std::unique_ptr<DIR, int (*)(DIR*)> directory(opendir("/proc/self/fd"), closedir);
    while (const dirent* entry = directory ? readdir(directory.get()) : nullptr) { // NOLINT: own stream
        int descriptor = -1;
        const char* const end = entry->d_name + std::strlen(entry->d_name);
        if (std::from_chars(entry->d_name, end, descriptor).ptr == end && visit(descriptor)) {
            return;
        }
    }
}

short poll_now(int descriptor, short events) {
    pollfd entry{descriptor, events, 0};
    return poll(&entry, 1, 0) > 0 ? entry.revents : static_cast<short>(0);
}

} // namespace

std::optional<int> find_socket(const socket_address& peer, const std::set<int>& known) {
    std::optional<int> found;
    visit_descriptors([&](int descriptor) {
        if (known.count(descriptor) == 0 && end_of(descriptor, getpeername) == peer) {
            found = descriptor;
        }
        return found.has_value();
    });
    return found;
}

std::vector<open_socket> list_accepted(std::uint16_t local_port) {
    std::vector<open_socket> sockets;
    visit_descriptors([&](int descriptor) {
        const auto peer = end_of(descriptor, getpeername);
        const auto local = peer ? end_of(descriptor, getsockname) : std::nullopt;
        if (local && local->port == local_port) {
            int unread = 0;
            ioctl(descriptor, FIONREAD, &unread);
            sockets.push_back({descriptor, *peer, unread});
        }
        return false;
    });
    return sockets;
}

bool is_readable(int descriptor) {
    return poll_now(descriptor, POLLIN | POLLRDHUP) != 0;
}

bool is_hung_up(int descriptor) {
    return (poll_now(descriptor, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace cassiaspan
