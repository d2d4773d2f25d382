#include "caller_responses.h"

#include "connection_pressure.h"
#include "relay.h"

#include <fmt/format.h>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

// The idle timeout announced to callers is this much shorter than the one that applies, so that callers stop
// using a connection before it is closed.
constexpr milliseconds keep_alive_margin{1000};

using local_response = http::response<http::string_body>;

// Returns the idle timeout for callers' connections at the current number of open connections.
idle_policy current_idle_policy(const node_core& core) {
    return choose_idle_policy(core.open_caller_connections, core.settings.max_open_files,
                              current_caller_limits(core).idle_timeout);
}

// Returns how long a write may wait for the caller to accept bytes. The request's deadline comes first: a
// round trip to the caller may take longer than the idle timeout.
milliseconds write_timeout(const caller_connection_state& state) {
    const auto time_left = std::chrono::ceil<milliseconds>(state.request_deadline - now_of(state.core));
    return std::max(current_caller_limits(state.core).idle_timeout, time_left);
}

// Writes what the serializer holds: all of the message, or the chunk in its body. Returns false if the
// connection failed or the caller accepted no bytes for the write timeout.
template <class Serializer>
asio::awaitable<bool> write_remaining(caller_connection_state& state, Serializer& serializer) {
    error_code error;
    while (!error && !serializer.is_done()) {
        const socket_timeout timeout(state.core, state.socket, write_timeout(state));
        co_await http::async_write_some(*state.socket, serializer, capture_error(error));
    }
    state.write_error = error == http::error::need_buffer ? error_code() : error;
    co_return !state.write_error;
}

asio::awaitable<bool> write_response(caller_connection_state& state, const local_response& response) {
    state.has_begun_response = true;
    http::response_serializer<http::string_body> serializer(response);
    co_return co_await write_remaining(state, serializer);
}

// Decides whether the connection stays open after the response, and sets the Connection and Keep-Alive
// headers.
template <class Response> void set_connection_fields(caller_connection_state& state, Response& response) {
    // Shutdown may have begun since the request was read.
    state.keep_alive = state.keep_alive && state.has_read_body && is_accepting(state.core);
    response.keep_alive(state.keep_alive);
    if (state.keep_alive) {
        const milliseconds idle = current_idle_policy(state.core).idle_timeout;
        const seconds announced = std::max(seconds(1), std::chrono::floor<seconds>(idle - keep_alive_margin));
        state.idle_timeout = std::max(idle, announced + keep_alive_margin);
        response.set(http::field::keep_alive, "timeout=" + std::to_string(announced.count()));
    }
}

// Copies the target's response header without hop-by-hop headers.
http::response_header<> copy_head(const http::response_header<>& source, unsigned version) {
    http::response_header<> head;
    head.version(version);
    head.result(source.result_int());
    head.reason(source.reason());
    for (const auto& field : source) {
        if (!is_hop_by_hop(source, field.name_string())) {
            head.insert(field.name_string(), field.value());
        }
    }
    return head;
}

// Streams a large response to the caller. See response_sink for the functions.
struct streaming_writer {
    caller_connection_state& state;
    unsigned version;
    http::response<http::buffer_body> message;
    std::unique_ptr<http::response_serializer<http::buffer_body>> serializer;

    asio::awaitable<bool> begin(const http::response_header<>& head, std::optional<std::uint64_t> length) {
        this->message.base() = copy_head(head, this->version);
        this->message.erase(http::field::content_length);
        if (length) {
            this->message.content_length(*length);
        } else if (this->version >= 11) {
            this->message.chunked(true);
        } else {
            this->state.keep_alive = false;
        }
        set_connection_fields(this->state, this->message);
        this->message.body().data = nullptr;
        this->message.body().more = true;
        this->state.has_begun_response = true;
        // Also an end of the process before finish() must reset the connection.
        this->set_reset_on_close(this->ends_with_connection());
        this->serializer = std::make_unique<http::response_serializer<http::buffer_body>>(this->message);
        const socket_timeout timeout(this->state.core, this->state.socket, write_timeout(this->state));
        co_await http::async_write_header(*this->state.socket, *this->serializer,
                                          capture_error(this->state.write_error));
        co_return !this->state.write_error;
    }

    asio::awaitable<bool> write(const char* data, std::size_t size) {
        this->message.body().data = const_cast<char*>(data);
        this->message.body().size = size;
        this->message.body().more = true;
        return write_remaining(this->state, *this->serializer);
    }

    asio::awaitable<void> finish(bool complete) {
        if (!complete) {
            error_code ignored;
            this->state.keep_alive = false;
            this->state.socket->close(ignored);
            co_return;
        }
        this->message.body().data = nullptr;
        this->message.body().size = 0;
        this->message.body().more = false;
        const bool written = co_await write_remaining(this->state, *this->serializer);
        if (written && this->ends_with_connection()) {
            this->set_reset_on_close(false);
        }
    }

    // Returns whether the end of the connection is the end of the response. In other responses, the missing
    // last chunk, or the missing bytes of the Content-Length, show that one is truncated.
    [[nodiscard]] bool ends_with_connection() const {
        return !this->message.chunked() && !this->message.has_content_length();
    }

    // Sets whether the connection is reset when the socket is closed, in whatever way.
    void set_reset_on_close(bool enabled) const {
        // Asio's own option would be cleared when the socket is destroyed without having been closed.
        const linger option{enabled ? 1 : 0, 0};
        ::setsockopt(this->state.socket->native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
};

} // namespace

caller_limits current_caller_limits(const node_core& core) {
    return core.config ? core.config->rules().limits : caller_limits{};
}

asio::awaitable<bool> write_local_reply(caller_connection_state& state, const local_reply& reply,
                                        unsigned version, const std::string& id) {
    local_response response(static_cast<http::status>(reply.status), version);
    response.set(http::field::content_type, "text/plain");
    if (!id.empty()) {
        response.set(state.core.platform.headers().request_id, id);
    }
    if (reply.retry_after) {
        const double time = static_cast<double>(reply.retry_after->count()) / milliseconds::period::den;
        response.set(http::field::retry_after, fmt::format("{:.3f}", time));
    }
    if (state.is_from_vm) {
        if (!may_have_run(reply)) {
            response.set(state.core.platform.headers().not_executed, "1");
        }
        if (reply.attempts) {
            response.set(relay_headers::attempts, std::to_string(*reply.attempts));
        }
        if (reply.refuses_peers) {
            response.set(relay_headers::refused, "1");
        }
    }
    response.body() = reply.reason + "\n";
    response.prepare_payload();
    if (state.is_head_request) {
        response.body().clear();
    }
    state.keep_alive = state.keep_alive && !current_idle_policy(state.core).close_after_refusal;
    set_connection_fields(state, response);
    co_return co_await write_response(state, response);
}

asio::awaitable<bool> write_target_response(caller_connection_state& state, target_response source,
                                            const http::request_header<>& request) {
    http::response<http::string_body> response(copy_head(source.head, request.version()));
    const unsigned status = source.head.result_int();
    const bool has_no_body = request.method() == http::verb::head || status == 204 || status == 304;
    if (!has_no_body) {
        response.body() = std::move(source.body);
        response.content_length(response.body().size());
    }
    set_connection_fields(state, response);
    co_return co_await write_response(state, response);
}

response_sink make_response_sink(caller_connection_state& state, unsigned version) {
    const auto writer = std::make_shared<streaming_writer>(streaming_writer{state, version, {}, nullptr});
    response_sink sink;
    sink.begin = [writer](const http::response_header<>& head, std::optional<std::uint64_t> length) {
        return writer->begin(head, length);
    };
    sink.write = [writer](const char* data, std::size_t size) { return writer->write(data, size); };
    sink.finish = [writer](bool complete) { return writer->finish(complete); };
    return sink;
}

} // namespace cassiaspan
