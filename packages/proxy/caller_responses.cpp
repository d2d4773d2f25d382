#include "caller_responses.h"

#include "background_task.h"
#include "connection_pressure.h"
#include "relay.h"

#include <fmt/format.h>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

// The idle timeout announced to callers is this much shorter than the one that applies, so that callers stop
// using a connection before it is closed.
constexpr milliseconds keep_alive_margin{1000};

// How long the reply to a caller that gives its place up for others may take.
constexpr milliseconds last_reply_timeout{500};

// Bytes of a response that may wait for the caller, whatever else waits, and the most that may. The first is
// one read from a target.
constexpr std::size_t min_queue_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_queue_bytes = std::size_t{1024} * 1024;

using local_response = http::response<http::string_body>;

// Returns the idle timeout for callers' connections at the current number of open connections.
idle_policy current_idle_policy(const node_core& core) {
    return choose_idle_policy(core.open_caller_connections, core.settings.max_open_files,
                              current_caller_limits(core).idle_timeout);
}

// Returns how long a write may wait for the caller to accept bytes. The request's deadline comes first: a
// round trip to the caller may take longer than the idle timeout.
milliseconds write_timeout(const node_core& core, instant request_deadline) {
    const auto time_left = std::chrono::ceil<milliseconds>(request_deadline - now_of(core));
    return std::max(current_caller_limits(core).idle_timeout, time_left);
}

milliseconds write_timeout(const caller_connection_state& state) {
    return state.has_given_way ? last_reply_timeout : write_timeout(state.core, state.request_deadline);
}

// Lists a connection whose caller is to take bytes of a response, for the lifetime of the returned object.
std::unique_ptr<evictable> list_slow_reader(caller_connection_state& state) {
    return std::make_unique<evictable>(state.core.memory.slow_readers,
                                       waiting_of(state, caller_stage::response), now_of(state.core),
                                       held_memory{state.request_memory}, [&state] {
                                           error_code ignored;
                                           state.has_given_way = true;
                                           ++state.core.metrics.connections_refused_by_reason["slow_reader"];
                                           state.socket->close(ignored);
                                       });
}

// Writes what the serializer holds: all of the message, or the chunk in its body. Returns false if the
// connection failed or the caller accepted no bytes for the write timeout.
template <class Serializer>
asio::awaitable<bool> write_remaining(caller_connection_state& state, Serializer& serializer) {
    error_code error;
    const auto listed = list_slow_reader(state);
    while (!error && !serializer.is_done()) {
        const socket_timeout timeout(state.core, state.socket, write_timeout(state));
        const std::size_t written =
            co_await http::async_write_some(*state.socket, serializer, capture_error(error));
        state.core.caller_bytes += written;
        listed->record_progress(written, now_of(state.core));
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
    state.keep_alive =
        state.keep_alive && state.has_read_body && !state.has_given_way && is_accepting(state.core);
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

// The bytes of a response that its caller has not taken yet, in a VM with limited memory. They are written by
// a coroutine of their own, so that the target's response is read on meanwhile. That coroutine may end after
// the request and its connection state.
struct response_queue {
    response_queue(node_core& core_in, std::shared_ptr<tcp::socket> socket_in,
                   const waiting_caller& caller_in, instant deadline)
        : core(core_in), socket(std::move(socket_in)), caller(caller_in), request_deadline(deadline),
          changed(core_in.context), reserved(core_in.memory, memory_part::responses) {
        this->changed.expires_at(asio::steady_timer::time_point::max());
    }
    node_core& core;
    std::shared_ptr<tcp::socket> socket;
    waiting_caller caller;
    instant request_deadline;
    http::response<http::buffer_body> message;
    std::unique_ptr<http::response_serializer<http::buffer_body>> serializer;
    // Bytes that wait, and those that are being written.
    std::string waiting;
    std::string writing;
    bool is_writing = false;
    // Bytes that the caller's connection has taken.
    std::size_t taken_bytes = 0;
    error_code error;
    // Cancelled when bytes were written or the connection failed.
    asio::steady_timer changed;
    memory_reservation reserved;
};
using response_queue_ptr = std::shared_ptr<response_queue>;

std::size_t queued_bytes(const response_queue& queue) {
    return queue.waiting.size() + queue.writing.size();
}

// Returns how many bytes may wait for the caller before the target's response is no longer read.
std::size_t queue_allowance(const response_queue& queue) {
    return min_queue_bytes + share_of_one(queue.core.memory, memory_part::responses, max_queue_bytes);
}

// Writes what waits, until nothing does.
asio::awaitable<void> write_queue(response_queue_ptr queue) {
    while (!queue->error && !queue->waiting.empty()) {
        queue->writing.clear();
        std::swap(queue->writing, queue->waiting);
        auto& body = queue->message.body();
        body.data = queue->writing.data();
        body.size = queue->writing.size();
        body.more = true;
        error_code error;
        while (!error) {
            const socket_timeout timeout(queue->core, queue->socket,
                                         write_timeout(queue->core, queue->request_deadline));
            const std::size_t written =
                co_await http::async_write_some(*queue->socket, *queue->serializer, capture_error(error));
            queue->taken_bytes += written;
            queue->changed.cancel();
        }
        if (error != http::error::need_buffer && !queue->error) {
            queue->error = error;
        }
        queue->writing = std::string();
        queue->reserved.resize(queued_bytes(*queue));
        queue->changed.cancel();
    }
    queue->is_writing = false;
    queue->changed.cancel();
}

// Waits until at most `limit` bytes are queued. A caller that reads nothing loses its connection when the
// memory is needed for others. Returns false if the connection failed or was closed.
asio::awaitable<bool> wait_for_queue(response_queue_ptr queue, std::size_t limit,
                                     memory_reservation* request_memory) {
    evictable slow_reader(queue->core.memory.slow_readers, queue->caller, now_of(queue->core),
                          held_memory{&queue->reserved, request_memory}, [&slow = *queue] {
                              error_code ignored;
                              slow.error = asio::error::timed_out;
                              slow.socket->close(ignored);
                              slow.changed.cancel();
                              ++slow.core.metrics.connections_refused_by_reason["slow_reader"];
                          });
    while (queue->is_writing && !queue->error && queued_bytes(*queue) > limit) {
        const std::size_t before = queue->taken_bytes;
        error_code ignored;
        co_await queue->changed.async_wait(capture_error(ignored));
        slow_reader.record_progress(queue->taken_bytes - before, now_of(queue->core));
    }
    co_return !queue->error;
}

// Streams a large response to the caller. See response_sink for the functions.
struct streaming_writer {
    caller_connection_state& state;
    unsigned version;
    // Whether the response is written while it is read.
    bool is_queued;
    response_queue_ptr queue;

    asio::awaitable<bool> begin(const http::response_header<>& head, std::optional<std::uint64_t> length) {
        this->queue = std::make_shared<response_queue>(this->state.core, this->state.socket,
                                                       waiting_of(this->state, caller_stage::response),
                                                       this->state.request_deadline);
        auto& message = this->queue->message;
        message.base() = copy_head(head, this->version);
        message.erase(http::field::content_length);
        if (length) {
            message.content_length(*length);
        } else if (this->version >= 11) {
            message.chunked(true);
        } else {
            this->state.keep_alive = false;
        }
        set_connection_fields(this->state, message);
        message.body().data = nullptr;
        message.body().more = true;
        this->state.has_begun_response = true;
        if (this->ends_with_connection()) {
            // Also an end of the process before finish() must reset the connection.
            this->set_reset_on_close(true);
        }
        this->queue->serializer = std::make_unique<http::response_serializer<http::buffer_body>>(message);
        const auto listed = list_slow_reader(this->state);
        const socket_timeout timeout(this->state.core, this->state.socket, write_timeout(this->state));
        co_await http::async_write_header(*this->state.socket, *this->queue->serializer,
                                          capture_error(this->state.write_error));
        co_return !this->state.write_error;
    }

    asio::awaitable<bool> write(const char* data, std::size_t size) {
        if (!this->is_queued) {
            this->queue->message.body().data = const_cast<char*>(data);
            this->queue->message.body().size = size;
            this->queue->message.body().more = true;
            const bool written = co_await write_remaining(this->state, *this->queue->serializer);
            co_return written;
        }
        this->queue->waiting.append(data, size);
        this->queue->reserved.resize(queued_bytes(*this->queue));
        if (!this->queue->is_writing) {
            this->queue->is_writing = true;
            spawn_task(this->state.core, "response writer", write_queue(this->queue));
        }
        const std::size_t allowance = queue_allowance(*this->queue);
        bool ok = !this->queue->error;
        if (ok && queued_bytes(*this->queue) > allowance) {
            ok = co_await wait_for_queue(this->queue, allowance, this->state.request_memory);
        }
        this->state.write_error = this->queue->error;
        co_return ok;
    }

    asio::awaitable<void> finish(bool complete) {
        if (complete) {
            complete = co_await wait_for_queue(this->queue, 0, this->state.request_memory);
            this->state.write_error = this->queue->error;
        }
        auto& message = this->queue->message;
        if (!complete) {
            error_code ignored;
            this->state.keep_alive = false;
            this->state.socket->close(ignored);
            co_return;
        }
        message.body().data = nullptr;
        message.body().size = 0;
        message.body().more = false;
        const bool written = co_await write_remaining(this->state, *this->queue->serializer);
        if (written && this->ends_with_connection()) {
            this->set_reset_on_close(false);
        }
    }

    // Returns whether the end of the connection is the end of the response. In other responses, the missing
    // last chunk, or the missing bytes of the Content-Length, show that one is truncated.
    [[nodiscard]] bool ends_with_connection() const {
        return !this->queue->message.chunked() && !this->queue->message.has_content_length();
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
        if (state.request_memory != nullptr) {
            state.request_memory->resize(state.request_memory->size() + source.body.size());
        }
        response.body() = std::move(source.body);
        response.content_length(response.body().size());
    }
    set_connection_fields(state, response);
    co_return co_await write_response(state, response);
}

response_sink make_response_sink(caller_connection_state& state, unsigned version) {
    const auto writer = std::make_shared<streaming_writer>(
        streaming_writer{state, version, state.core.memory.budget.has_value(), nullptr});
    response_sink sink;
    sink.begin = [writer](const http::response_header<>& head, std::optional<std::uint64_t> length) {
        return writer->begin(head, length);
    };
    sink.write = [writer](const char* data, std::size_t size) { return writer->write(data, size); };
    sink.finish = [writer](bool complete) { return writer->finish(complete); };
    return sink;
}

} // namespace cassiaspan
