#include "peer_client.h"

#include <future>
#include <poll.h>
#include <sys/eventfd.h>
#include <vector>

namespace cassiaspan {

namespace {

// How often time-outs are looked for, while calls wait and while none does.
constexpr milliseconds timeout_scan{20};
constexpr milliseconds idle_scan{1000};

} // namespace

peer_client::peer_client(std::string source_host_in, const clock& clock_in, file_descriptor wake_in)
    : source_host(std::move(source_host_in)), time(clock_in), wake(std::move(wake_in)) {}

std::unique_ptr<peer_client> peer_client::start(const std::string& source_host, const clock& time) {
    std::unique_ptr<peer_client> client(
        new peer_client(source_host, time, file_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))));
    client->thread = std::thread([raw = client.get()] { raw->run(); });
    return client;
}

peer_client::~peer_client() {
    this->stopping = true;
    eventfd_write(this->wake.get(), 1);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void peer_client::call(const socket_address& peer, peer_message message, milliseconds timeout,
                       const reply_handler& on_reply) {
    pending_call call{peer, std::move(message), this->time.now() + timeout, on_reply};
    if (!this->queue.push(std::move(call))) {
        on_reply(std::nullopt);
        return;
    }
    eventfd_write(this->wake.get(), 1);
}

std::optional<peer_message> peer_client::call_and_wait(const socket_address& peer, peer_message message,
                                                       milliseconds timeout) {
    auto promise = std::make_shared<std::promise<std::optional<peer_message>>>();
    auto future = promise->get_future();
    this->call(peer, std::move(message), timeout,
               [promise](const std::optional<peer_message>& reply) { promise->set_value(reply); });
    return future.get();
}

void peer_client::run() {
    while (!this->stopping) {
        std::vector<pollfd> entries{{this->wake.get(), POLLIN, 0}};
        std::vector<socket_address> order;
        bool waiting = false;
        for (const auto& [address, link] : this->links) {
            const short wanted = link->stream.unsent.empty() ? POLLIN : POLLIN | POLLOUT;
            entries.push_back({link->stream.socket.get(), wanted, 0});
            order.push_back(address);
            waiting = waiting || !link->waiting.empty();
        }
        const milliseconds longest = waiting ? timeout_scan : idle_scan;
        poll(entries.data(), entries.size(), static_cast<int>(longest.count()));
        eventfd_t count = 0;
        eventfd_read(this->wake.get(), &count);
        for (std::size_t i = 0; i < order.size(); ++i) {
            const short events = entries[i + 1].revents;
            if (events != 0 && !this->move_bytes(*this->links[order[i]], events)) {
                fail_all(*this->links[order[i]]);
                this->links.erase(order[i]);
            }
        }
        this->submit_queued();
        this->fail_expired();
    }
    for (auto& [address, link] : this->links) {
        fail_all(*link);
    }
    while (auto call = this->queue.try_pop()) {
        call->on_reply(std::nullopt);
    }
}

void peer_client::submit_queued() {
    while (auto call = this->queue.try_pop()) {
        peer_link* link = this->find_or_open(call->peer);
        const std::int32_t stream =
            link == nullptr ? -1 : link->stream.session->submit_request(std::move(call->message));
        if (stream < 0) {
            call->on_reply(std::nullopt);
            continue;
        }
        link->waiting[stream] = {call->deadline, std::move(call->on_reply)};
        if (!this->move_bytes(*link, POLLOUT)) {
            fail_all(*link);
            this->links.erase(call->peer);
        }
    }
}

peer_client::peer_link* peer_client::find_or_open(const socket_address& peer) {
    auto& link = this->links[peer];
    if (link) {
        return link.get();
    }
    file_descriptor socket = start_connect(peer, this->source_host);
    if (socket.get() < 0) {
        this->links.erase(peer);
        return nullptr;
    }
    link = std::make_unique<peer_link>();
    link->stream.socket = std::move(socket);
    link->stream.session =
        h2_session::make_client([raw = link.get()](std::int32_t stream, peer_message message) {
            const auto found = raw->waiting.find(stream);
            if (found != raw->waiting.end()) {
                const reply_handler on_reply = std::move(found->second.on_reply);
                raw->waiting.erase(found);
                on_reply(peer_message(std::move(message)));
            }
        });
    return link.get();
}

bool peer_client::move_bytes(peer_link& link, short events) {
    byte_counts counts;
    bool open = true;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        open = read_input(link.stream, counts);
    }
    open = open && write_output(link.stream, counts);
    this->sent += counts.sent;
    this->received += counts.received;
    return open;
}

void peer_client::fail_expired() {
    const instant now = this->time.now();
    for (auto current = this->links.begin(); current != this->links.end();) {
        bool expired = false;
        for (const auto& [stream, reply] : current->second->waiting) {
            expired = expired || reply.deadline <= now;
        }
        // A call that timed out says that the link is bad: the next call starts on a new connection.
        if (expired) {
            fail_all(*current->second);
            current = this->links.erase(current);
        } else {
            ++current;
        }
    }
}

void peer_client::fail_all(peer_link& link) {
    auto waiting = std::move(link.waiting);
    link.waiting.clear();
    for (auto& [stream, reply] : waiting) {
        reply.on_reply(std::nullopt);
    }
}

} // namespace cassiaspan
