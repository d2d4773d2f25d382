#include "peer_channel.h"

#include <future>

namespace cassiaspan {

namespace {

peer_result open_reply(const std::optional<peer_message>& reply, const std::string& secret,
                       const std::string& request_code, std::uint64_t incarnation) {
    if (!reply) {
        return tl::make_unexpected(peer_failure::unreachable);
    }
    const std::string code = authenticate(secret, message_direction::reply, request_code, reply->body);
    schema::PeerReply typed;
    if (!codes_match(code, reply->code) || !typed.ParseFromString(reply->body)) {
        return tl::make_unexpected(peer_failure::wrong_code);
    }
    if (incarnation != 0 && typed.from_incarnation() != incarnation) {
        return tl::make_unexpected(peer_failure::wrong_incarnation);
    }
    return typed;
}

} // namespace

peer_caller::peer_caller(peer_client& client_in, std::string secret_in, schema::Member self_in,
                         milliseconds timeout_in)
    : client(client_in), secret(std::move(secret_in)), self(std::move(self_in)), timeout(timeout_in) {}

void peer_caller::call(const socket_address& address, std::uint64_t incarnation, schema::PeerRequest request,
                       peer_result_handler on_result) {
    *request.mutable_from() = this->self;
    request.set_to_incarnation(incarnation);
    request.set_sequence(++this->sequence);
    std::string body = request.SerializeAsString();
    std::string code = authenticate(this->secret, message_direction::request, "", body);
    auto handler = [this, code, incarnation,
                    on_result = std::move(on_result)](const std::optional<peer_message>& reply) {
        on_result(open_reply(reply, this->secret, code, incarnation));
    };
    this->client.call(address, {code, std::move(body)}, this->timeout, std::move(handler));
}

peer_result peer_caller::call_and_wait(const socket_address& address, std::uint64_t incarnation,
                                       schema::PeerRequest request) {
    auto promise = std::make_shared<std::promise<peer_result>>();
    auto future = promise->get_future();
    this->call(address, incarnation, std::move(request),
               [promise](peer_result result) { promise->set_value(std::move(result)); });
    return future.get();
}

std::optional<peer_message> peer_gate::answer(const peer_message& message) {
    const std::string code = authenticate(this->secret, message_direction::request, "", message.body);
    schema::PeerRequest request;
    if (!codes_match(code, message.code) || !request.ParseFromString(message.body) ||
        !this->is_acceptable(request)) {
        ++this->refused_count;
        return std::nullopt;
    }
    schema::PeerReply reply = this->handler(request);
    reply.set_sequence(request.sequence());
    reply.set_from_incarnation(this->self);
    std::string body = reply.SerializeAsString();
    std::string reply_code = authenticate(this->secret, message_direction::reply, message.code, body);
    return peer_message{std::move(reply_code), std::move(body)};
}

bool peer_gate::is_acceptable(const schema::PeerRequest& request) {
    // A pull changes nothing here, so that it may come from a VM that does not know this incarnation yet.
    const bool meant_for_us =
        request.to_incarnation() == this->self || (request.to_incarnation() == 0 && request.has_pull());
    return meant_for_us && this->guard.accept(request.from().incarnation(), request.sequence());
}

} // namespace cassiaspan
