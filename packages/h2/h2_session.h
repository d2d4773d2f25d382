// One nghttp2 session on one socket: short requests one way, short answers the other.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace cassiaspan {

// Default limit of a message between VMs, in bytes: a value of the store and its wrapping.
constexpr std::size_t max_peer_message_bytes = (1U << 20U) + (64U << 10U);

// Default limit of the streams that one peer may have open at a time.
constexpr std::uint32_t default_max_streams = 256;

// A message with its authentication code.
struct peer_message {
    std::string code;
    std::string body;
    auto operator<=>(const peer_message&) const = default;
};

// The protocol state of one connection. The owner moves the bytes.
class h2_session {
public:
    // Called for each whole message: on a server with the stream to answer on, on a client with the stream
    // that asked.
    using message_handler = std::function<void(std::int32_t stream, peer_message message)>;

    // Starts a session for the side that accepted or opened the connection. A message of more bytes than
    // `max_message_bytes` ends the session. The other side may have `max_streams` requests open at a time.
    static std::unique_ptr<h2_session> make_server(message_handler on_message,
                                                   std::size_t max_message_bytes = max_peer_message_bytes,
                                                   std::uint32_t max_streams = default_max_streams);
    static std::unique_ptr<h2_session> make_client(message_handler on_message,
                                                   std::size_t max_message_bytes = max_peer_message_bytes);
    ~h2_session();
    h2_session(const h2_session&) = delete;
    h2_session& operator=(const h2_session&) = delete;
    h2_session(h2_session&&) = delete;
    h2_session& operator=(h2_session&&) = delete;

    // Takes in received bytes; false when the connection must be closed.
    [[nodiscard]] bool receive(std::string_view bytes);
    // Sends a request and returns its stream, below 0 on failure.
    [[nodiscard]] std::int32_t submit_request(peer_message message);
    // Answers the request of a stream; false when the stream is gone.
    bool submit_reply(std::int32_t stream, peer_message message);
    // The same with a body that several streams share.
    bool submit_reply(std::int32_t stream, std::string_view code, std::shared_ptr<const std::string> body);
    // Returns bytes to send, taken out of the session: all that may be sent now, or at least `enough` bytes
    // and at most one frame more.
    [[nodiscard]] std::string take_output(std::size_t enough = std::numeric_limits<std::size_t>::max());

private:
    struct stream_state {
        peer_message incoming;
        std::shared_ptr<const std::string> outgoing;
        std::size_t sent = 0;
    };
    struct callbacks;

    h2_session(message_handler handler, std::size_t max_message_bytes_in)
        : on_message(std::move(handler)), max_message_bytes(max_message_bytes_in) {}

    message_handler on_message;
    std::size_t max_message_bytes;
    nghttp2_session* session = nullptr;
    bool is_server = false;
    std::map<std::int32_t, stream_state> streams;
};

} // namespace cassiaspan
