// Typed, authenticated messages between VMs, on top of the raw client and server.
#pragma once

#include "peer.pb.h"
#include "peer_auth.h"
#include "peer_client.h"
#include "peer_server.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>

namespace cassiaspan {

// Why a call to a peer gave no answer. After each of them the peer may have acted.
enum class peer_failure { unreachable, wrong_code, wrong_incarnation };

using peer_result = tl::expected<schema::PeerReply, peer_failure>;
using peer_result_handler = std::function<void(peer_result)>;

// Sends typed messages in the name of one incarnation.
class peer_caller {
public:
    peer_caller(peer_client& client_in, std::string secret_in, schema::Member self_in,
                milliseconds timeout_in);

    // Sends a message to the peer at `address`. Anything but a pull needs the peer's incarnation. The handler
    // runs on the client's thread and must not wait.
    void call(const socket_address& address, std::uint64_t incarnation, schema::PeerRequest request,
              peer_result_handler on_result);
    // Sends a message and waits for the answer.
    [[nodiscard]] peer_result call_and_wait(const socket_address& address, std::uint64_t incarnation,
                                            schema::PeerRequest request);

private:
    peer_client& client;
    std::string secret;
    schema::Member self;
    milliseconds timeout;
    std::atomic<std::uint64_t> sequence{0};
};

// Checks messages of peers before they are acted on. Used from one thread.
class peer_gate {
public:
    using request_handler = std::function<schema::PeerReply(const schema::PeerRequest&)>;

    peer_gate(std::string secret_in, std::uint64_t incarnation, request_handler handler_in)
        : secret(std::move(secret_in)), self(incarnation), handler(std::move(handler_in)) {}

    // Answers a message, or nothing when its code is wrong, it was seen before, or it is meant for another
    // incarnation.
    [[nodiscard]] std::optional<peer_message> answer(const peer_message& message);
    // Messages refused so far.
    [[nodiscard]] std::uint64_t refused() const { return this->refused_count.load(); }

private:
    [[nodiscard]] bool is_acceptable(const schema::PeerRequest& request);

    std::string secret;
    std::uint64_t self;
    request_handler handler;
    replay_guard guard;
    std::atomic<std::uint64_t> refused_count{0};
};

} // namespace cassiaspan
