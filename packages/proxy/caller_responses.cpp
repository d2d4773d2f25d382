#include "caller_responses.h"

#include "connection_pressure.h"

#include <fmt/format.h>

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

asio::awaitable<bool> write_response(caller_connection_state& state, local_response& response) {
    const socket_timeout timeout(state.core, state.socket, current_caller_limits(state.core).idle_timeout);
    error_code error;
    co_await http::async_write(*state.socket, response, capture_error(error));
    state.write_error = error;
    co_return !error;
}

// Decides whether the connection stays open after the response, and sets the Connection and Keep-Alive
// headers.
template <class Response> void set_connection_fields(caller_connection_state& state, Response& response) {
    // Shutdown may have begun since the request was read.
    state.keep_alive = state.keep_alive && is_accepting(state.core);
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
        this->serializer = std::make_unique<http::response_serializer<http::buffer_body>>(this->message);
        error_code error;
        co_await http::async_write_header(*this->state.socket, *this->serializer, capture_error(error));
        this->state.write_error = error;
        co_return !error;
    }

    asio::awaitable<bool> write(const char* data, std::size_t size) {
        this->message.body().data = const_cast<char*>(data);
        this->message.body().size = size;
        this->message.body().more = true;
        const socket_timeout timeout(this->state.core, this->state.socket,
                                     current_caller_limits(this->state.core).idle_timeout);
        error_code error;
        co_await http::async_write(*this->state.socket, *this->serializer, capture_error(error));
        this->state.write_error = error == http::error::need_buffer ? error_code() : error;
        co_return !this->state.write_error;
    }

    asio::awaitable<void> finish(bool complete) {
        error_code error;
        if (!complete) {
            // The missing last chunk, or the missing bytes of its Content-Length, show that the response is
            // truncated. A response without both would look complete, so the connection is reset.
            this->state.keep_alive = false;
            if (!this->message.chunked() && !this->message.has_content_length()) {
                this->state.socket->set_option(asio::socket_base::linger(true, 0), error);
            }
            this->state.socket->close(error);
            co_return;
        }
        this->message.body().data = nullptr;
        this->message.body().size = 0;
        this->message.body().more = false;
        co_await http::async_write(*this->state.socket, *this->serializer, capture_error(error));
        this->state.write_error = error;
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
    response.body() = reply.reason + "\n";
    response.prepare_payload();
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
