#include "fault_proxy.h"

#include <arpa/inet.h>
#include <array>
#include <deque>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaspan::standin {

namespace {

constexpr int poll_ms = 5;
constexpr std::size_t max_queued_bytes = 4U << 20U;

sockaddr_in to_native(const socket_address& address) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
    return native;
}

void set_no_delay(int descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Both directions of a connection; closed when the last of them ends.
struct socket_pair {
    socket_pair(int caller_in, int upstream_in) : caller(caller_in), upstream(upstream_in) {}
    socket_pair(const socket_pair&) = delete;
    socket_pair& operator=(const socket_pair&) = delete;
    socket_pair(socket_pair&&) = delete;
    socket_pair& operator=(socket_pair&&) = delete;
    int caller;
    int upstream;
    ~socket_pair() {
        close(this->caller);
        close(this->upstream);
    }
};

struct delayed_bytes {
    instant due;
    std::string bytes;
};

} // namespace

fault_proxy::fault_proxy(std::vector<proxy_route> routes_in) : routes(std::move(routes_in)) {
    for (std::size_t i = 0; i < this->routes.size(); ++i) {
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in native = to_native(this->routes[i].listen);
        if (bind(listener, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
            listen(listener, 128) != 0) {
            std::perror("fault proxy");
            std::abort();
        }
        this->listeners.push_back(listener);
        this->threads.emplace_back([this, i] { this->accept_loop(i); });
    }
}

fault_proxy::~fault_proxy() {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    for (const int listener : this->listeners) {
        close(listener);
    }
    while (this->pumps > 0) {
        std::this_thread::sleep_for(milliseconds{poll_ms});
    }
}

void fault_proxy::set_fault(std::uint16_t listen_port, const std::string& listen_host,
                            const std::string& source_host, const link_fault& fault) {
    const std::scoped_lock lock(this->mutex);
    this->faults[{listen_host, listen_port, source_host}] = fault;
}

link_fault fault_proxy::fault_of(const link_key& key) {
    const std::scoped_lock lock(this->mutex);
    auto found = this->faults.find(key);
    if (found == this->faults.end()) {
        found = this->faults.find({key.listen_host, key.listen_port, ""});
    }
    return found == this->faults.end() ? link_fault{} : found->second;
}

void fault_proxy::accept_loop(std::size_t route) {
    while (!this->stopping) {
        pollfd entry{this->listeners[route], POLLIN, 0};
        if (poll(&entry, 1, 50) <= 0) {
            continue;
        }
        sockaddr_in source{};
        socklen_t size = sizeof source;
        const int caller = accept(this->listeners[route], reinterpret_cast<sockaddr*>(&source), &size);
        if (caller < 0) {
            continue;
        }
        std::array<char, INET_ADDRSTRLEN> host{};
        inet_ntop(AF_INET, &source.sin_addr, host.data(), host.size());
        const link_key key{this->routes[route].listen.host, this->routes[route].listen.port, host.data()};
        const int upstream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in native = to_native(this->routes[route].upstream);
        if (this->fault_of(key).cut ||
            connect(upstream, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
            close(caller);
            close(upstream);
            continue;
        }
        set_no_delay(caller);
        set_no_delay(upstream);
        auto pair = std::make_shared<socket_pair>(caller, upstream);
        this->pumps += 2;
        std::thread([this, pair, key] { this->pump(pair->caller, pair->upstream, key, false); }).detach();
        std::thread([this, pair, key] { this->pump(pair->upstream, pair->caller, key, true); }).detach();
    }
}

void fault_proxy::pump(int from, int to, const link_key& key, bool answers) {
    std::deque<delayed_bytes> queue;
    std::size_t queued = 0;
    const boot_clock time;
    bool open = true;
    while (!this->stopping && (open || !queue.empty())) {
        const link_fault fault = this->fault_of(key);
        if (fault.cut) {
            break;
        }
        pollfd entry{from, static_cast<short>(open && queued < max_queued_bytes ? POLLIN : 0), 0};
        const int wait = queue.empty() ? poll_ms * 10 : 1;
        if (poll(&entry, 1, wait) > 0 && (entry.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            std::array<char, 65536> buffer{};
            const ssize_t size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
            open = size > 0 || (size < 0 && errno == EAGAIN);
            const bool dropped = fault.blackhole || (answers && fault.drop_answers);
            if (size > 0 && !dropped) {
                queue.push_back({time.now() + fault.delay, {buffer.data(), static_cast<std::size_t>(size)}});
                queued += static_cast<std::size_t>(size);
            }
        }
        while (!queue.empty() && queue.front().due <= time.now()) {
            const std::string& bytes = queue.front().bytes;
            std::size_t sent = 0;
            while (sent < bytes.size()) {
                const ssize_t size = send(to, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
                if (size <= 0) {
                    break;
                }
                sent += static_cast<std::size_t>(size);
            }
            queued -= bytes.size();
            queue.pop_front();
        }
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
    --this->pumps;
}

} // namespace cassiaspan::standin
