// Sends messages to other VMs and waits for their answers, from one thread. One kept connection per peer.
#pragma once

#include "bounded_ring.h"
#include "clock.h"
#include "stream_socket.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace cassiaspan {

// Called once with the answer, or with nothing when the call failed or timed out.
using reply_handler = std::function<void(const std::optional<peer_message>&)>;

// Calls that may wait to be sent.
constexpr std::size_t max_queued_calls = 4096;

// A running client for peers.
class peer_client {
public:
    // Starts the thread. Connections leave from `source_host`, an IP address of this VM.
    static std::unique_ptr<peer_client> start(const std::string& source_host, const clock& time);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;

    // Sends the message to the peer. `on_reply` runs on the client's thread and must not wait.
    void call(const socket_address& peer, peer_message message, milliseconds timeout,
              const reply_handler& on_reply);
    // Sends the message and waits for the answer.
    [[nodiscard]] std::optional<peer_message> call_and_wait(const socket_address& peer, peer_message message,
                                                            milliseconds timeout);
    // Bytes moved so far.
    [[nodiscard]] byte_counts bytes() const { return {this->sent.load(), this->received.load()}; }

private:
    struct pending_call {
        socket_address peer;
        peer_message message;
        instant deadline;
        reply_handler on_reply;
    };
    struct waiting_reply {
        instant deadline;
        reply_handler on_reply;
    };
    struct peer_link {
        stream_connection stream;
        std::map<std::int32_t, waiting_reply> waiting;
    };

    peer_client(std::string source_host_in, const clock& clock_in, file_descriptor wake_in);
    void run();
    void submit_queued();
    [[nodiscard]] peer_link* find_or_open(const socket_address& peer);
    [[nodiscard]] bool move_bytes(peer_link& link, short events);
    void fail_expired();
    static void fail_all(peer_link& link);

    std::string source_host;
    const clock& time;
    file_descriptor wake;
    bounded_ring<pending_call> queue{max_queued_calls};
    std::map<socket_address, std::unique_ptr<peer_link>> links;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    std::thread thread;
};

} // namespace cassiaspan
