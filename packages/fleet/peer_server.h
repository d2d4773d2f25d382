// Accepts connections of other VMs and answers their messages, from one thread.
#pragma once

#include "stream_socket.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tl/expected.hpp>

namespace cassiaspan {

// Answers one message; nothing refuses it, and the connection is closed.
using peer_handler = std::function<std::optional<peer_message>(const peer_message&)>;

// Connections that the server holds at a time.
constexpr std::size_t max_peer_connections = 512;

// A running server for peers.
class peer_server {
public:
    // Starts to listen, or says why it cannot. The handler runs on the server's thread and must not wait.
    static tl::expected<std::unique_ptr<peer_server>, std::string> start(const socket_address& address,
                                                                         peer_handler handler);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;

    // The port in use.
    [[nodiscard]] std::uint16_t port() const { return local_port(this->listener); }
    // Bytes moved so far.
    [[nodiscard]] byte_counts bytes() const { return {this->sent.load(), this->received.load()}; }

private:
    struct peer_connection {
        stream_connection stream;
        bool refused = false;
    };

    peer_server(file_descriptor listener_in, file_descriptor wake_in, peer_handler handler_in);
    void run();
    void accept_all();
    [[nodiscard]] bool serve(peer_connection& connection, short events);

    file_descriptor listener;
    file_descriptor wake;
    peer_handler handler;
    std::list<peer_connection> connections;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    std::thread thread;
};

} // namespace cassiaspan
