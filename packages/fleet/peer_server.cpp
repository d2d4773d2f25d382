#include "peer_server.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <vector>

namespace cassiaspan {

peer_server::peer_server(file_descriptor listener_in, file_descriptor wake_in, peer_handler handler_in)
    : listener(std::move(listener_in)), wake(std::move(wake_in)), handler(std::move(handler_in)) {}

tl::expected<std::unique_ptr<peer_server>, std::string> peer_server::start(const socket_address& address,
                                                                           peer_handler handler) {
    auto listener = listen_on(address);
    if (!listener) {
        return tl::make_unexpected(listener.error());
    }
    std::unique_ptr<peer_server> server(new peer_server(
        std::move(*listener), file_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), std::move(handler)));
    server->thread = std::thread([raw = server.get()] { raw->run(); });
    return server;
}

peer_server::~peer_server() {
    this->stopping = true;
    eventfd_write(this->wake.get(), 1);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void peer_server::run() {
    while (!this->stopping) {
        std::vector<pollfd> entries{{this->wake.get(), POLLIN, 0}, {this->listener.get(), POLLIN, 0}};
        for (const auto& connection : this->connections) {
            const short wanted = connection.stream.unsent.empty() ? POLLIN : POLLIN | POLLOUT;
            entries.push_back({connection.stream.socket.get(), wanted, 0});
        }
        poll(entries.data(), entries.size(), -1);
        std::size_t index = 2;
        for (auto current = this->connections.begin(); current != this->connections.end(); ++index) {
            const short events = entries[index].revents;
            const bool keep = events == 0 || this->serve(*current, events);
            current = keep ? std::next(current) : this->connections.erase(current);
        }
        if (entries[1].revents != 0) {
            this->accept_all();
        }
    }
}

void peer_server::accept_all() {
    for (file_descriptor socket = accept_from(this->listener); socket.get() >= 0;
         socket = accept_from(this->listener)) {
        if (this->connections.size() >= max_peer_connections) {
            continue;
        }
        peer_connection& connection = this->connections.emplace_back();
        connection.stream.socket = std::move(socket);
        connection.stream.session =
            h2_session::make_server([this, &connection](std::int32_t stream, const peer_message& message) {
                auto reply = this->handler(message);
                if (reply) {
                    connection.stream.session->submit_reply(stream, std::move(*reply));
                } else {
                    connection.refused = true;
                }
            });
    }
}

bool peer_server::serve(peer_connection& connection, short events) {
    byte_counts counts;
    bool keep = true;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        keep = read_input(connection.stream, counts) && !connection.refused;
    }
    keep = keep && write_output(connection.stream, counts);
    this->sent += counts.sent;
    this->received += counts.received;
    return keep;
}

} // namespace cassiaspan
