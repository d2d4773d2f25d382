// A TCP proxy that cuts, delays and freezes what goes over it, by the address the connection comes from.
#pragma once

#include "address.h"
#include "clock.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan::standin {

// One way through the proxy.
struct proxy_route {
    socket_address listen;
    socket_address upstream;
};

// What happens to connections from one host over one route. An empty host stands for every other host.
struct link_fault {
    // Open connections are reset and new ones refused at once.
    bool cut = false;
    // Bytes are taken in and dropped.
    bool blackhole = false;
    // Bytes wait this long in either direction.
    milliseconds delay{0};
    // Bytes that come back from the upstream are dropped.
    bool drop_answers = false;
    auto operator<=>(const link_fault&) const = default;
};

// Runs until it is destroyed; a thread for each route and each direction of each connection.
class fault_proxy {
public:
    explicit fault_proxy(std::vector<proxy_route> routes_in);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    // Sets the fault of a route for connections from `source_host`.
    void set_fault(std::uint16_t listen_port, const std::string& listen_host, const std::string& source_host,
                   const link_fault& fault);

private:
    struct link_key {
        std::string listen_host;
        std::uint16_t listen_port = 0;
        std::string source_host;
        auto operator<=>(const link_key&) const = default;
    };

    void accept_loop(std::size_t route);
    void pump(int from, int to, const link_key& key, bool answers);
    [[nodiscard]] link_fault fault_of(const link_key& key);

    std::vector<proxy_route> routes;
    std::vector<int> listeners;
    std::mutex mutex;
    std::map<link_key, link_fault> faults;
    std::atomic<bool> stopping{false};
    std::atomic<int> pumps{0};
    std::vector<std::thread> threads;
};

} // namespace cassiaspan::standin
