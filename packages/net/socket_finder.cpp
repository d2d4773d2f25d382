#include "socket_finder.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstring>
#include <dirent.h>
#include <memory>
#include <poll.h>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

std::optional<socket_address> peer_of(int descriptor) {
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
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

short poll_now(int descriptor, short events) {
    pollfd entry{descriptor, events, 0};
    return poll(&entry, 1, 0) > 0 ? entry.revents : static_cast<short>(0);
}

} // namespace

std::optional<int> find_socket(const socket_address& peer, const std::set<int>& known) {
    const std::unique_ptr<DIR, int (*)(DIR*)> directory(opendir("/proc/self/fd"), closedir);
    if (!directory) {
        return std::nullopt;
    }
    while (const dirent* entry = readdir(directory.get())) { // NOLINT(concurrency-mt-unsafe): own stream
        int descriptor = -1;
        const char* const end = entry->d_name + std::strlen(entry->d_name);
        if (std::from_chars(entry->d_name, end, descriptor).ptr != end || known.count(descriptor) != 0) {
            continue;
        }
        if (peer_of(descriptor) == peer) {
            return descriptor;
        }
    }
    return std::nullopt;
}

bool is_readable(int descriptor) {
    return poll_now(descriptor, POLLIN | POLLRDHUP) != 0;
}

bool is_hung_up(int descriptor) {
    return (poll_now(descriptor, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace cassiaspan
