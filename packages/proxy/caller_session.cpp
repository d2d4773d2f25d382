#include "caller_session.h"

#include "connection_pressure.h"
#include "forwarding.h"
#include "request_plan.h"

#include <array>
#include <limits>

namespace cassiaspan {

namespace {

// Bodies up to this size are read before a target is chosen, so that no slot waits for the caller and the
// request can be sent again.
constexpr std::size_t max_buffered_body = 512 * 1024;
constexpr std::size_t read_piece = 16 * 1024;
// Time in which the rest of a closed connection's bytes is read, so that no reset overtakes the answer.
constexpr milliseconds linger_time{500};
// The time that is told to callers for idle connections is this part of the limit.
constexpr int seconds_kept_back = 1;
// Answers whose end is a failure of the VM or a target.
constexpr unsigned first_failure_status = 500;

using request_parser = http::request_parser<http::buffer_body>;
using local_response = http::response<http::string_body>;

// One connection and what it is in the middle of.
struct caller_connection_state {
    caller_connection_state(node_core& core_in, std::shared_ptr<tcp::socket> socket_in)
        : core(core_in), socket(std::move(socket_in)) {}
    node_core& core;
    std::shared_ptr<tcp::socket> socket;
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
    // How long the connection may stay idle, as the caller was told with the last answer.
    std::optional<milliseconds> idle_timeout;
};

caller_limits limits_of(const node_core& core) {
    return core.config ? core.config->rules().limits : caller_limits{};
}

idle_terms idle_terms_of(const node_core& core) {
    return choose_idle_terms(core.open_caller_connections, core.settings.max_descriptors,
                             limits_of(core).idle_timeout);
}

// Closes the socket when the caller takes too long.
class socket_timeout {
public:
    socket_timeout(const caller_connection_state& state, milliseconds time)
        : timeout(state.core.deadlines, now_of(state.core) + time, [socket = state.socket.get()] {
              error_code ignored;
              socket->close(ignored);
          }) {}

private:
    deadline timeout;
};

// Waits for the first bytes of a request. False when the connection has ended or was idle for too long.
asio::awaitable<bool> await_request(caller_connection_state& state) {
    // Most heads fit; an idle connection holds no more memory than this.
    constexpr std::size_t first_read = 1024;
    if (state.buffer.size() > 0) {
        co_return true;
    }
    const socket_timeout timeout(state, state.idle_timeout.value_or(limits_of(state.core).idle_timeout));
    error_code error;
    const std::size_t count =
        co_await state.socket->async_read_some(state.buffer.prepare(first_read), into(error));
    state.buffer.commit(count);
    co_return !error;
}

// Reads body bytes until `limit` are there or the body ends.
asio::awaitable<error_code> read_body(caller_connection_state& state, request_parser& parser,
                                      std::string& body, std::size_t limit) {
    std::array<char, read_piece> piece; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by reads
    while (!parser.is_done() && body.size() < limit) {
        auto& target = parser.get().body();
        target.data = piece.data();
        target.size = piece.size();
        error_code error;
        co_await http::async_read(*state.socket, state.buffer, parser, into(error));
        body.append(piece.data(), piece.size() - target.size);
        if (error && error != http::error::need_buffer) {
            co_return error;
        }
    }
    co_return error_code{};
}

asio::awaitable<bool> write_response(caller_connection_state& state, local_response& response) {
    const socket_timeout timeout(state, limits_of(state.core).idle_timeout);
    error_code error;
    co_await http::async_write(*state.socket, response, into(error));
    co_return !error;
}

// Decides whether the connection outlives the answer, and tells the caller.
template <class Response> void set_connection_fields(caller_connection_state& state, Response& response) {
    // A stop may have begun since the request was read.
    state.keep_alive = state.keep_alive && is_accepting(state.core);
    response.keep_alive(state.keep_alive);
    if (state.keep_alive) {
        state.idle_timeout = idle_terms_of(state.core).idle_timeout;
        const auto idle = std::chrono::floor<seconds>(*state.idle_timeout);
        response.set(http::field::keep_alive, "timeout=" + std::to_string(std::max<std::int64_t>(
                                                               1, idle.count() - seconds_kept_back)));
    }
}

// Writes an answer of this VM's own.
asio::awaitable<bool> write_local(caller_connection_state& state, const local_answer& answer,
                                  unsigned version, const std::string& id) {
    local_response response(static_cast<http::status>(answer.status), version);
    response.set(http::field::content_type, "text/plain");
    if (!id.empty()) {
        response.set(state.core.platform.headers().request_id, id);
    }
    if (answer.retry_after) {
        const double time = static_cast<double>(answer.retry_after->count()) / milliseconds::period::den;
        response.set(http::field::retry_after, fmt::format("{:.3f}", time));
    }
    response.body() = answer.reason + "\n";
    response.prepare_payload();
    state.keep_alive = state.keep_alive && !idle_terms_of(state.core).close_after_refusal;
    set_connection_fields(state, response);
    co_return co_await write_response(state, response);
}

// Copies the target's head without what concerns its connection only.
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

asio::awaitable<bool> write_target_answer(caller_connection_state& state, target_answer answer,
                                          const http::request_header<>& request) {
    http::response<http::string_body> response(copy_head(answer.head, request.version()));
    const unsigned status = answer.head.result_int();
    const bool without_body = request.method() == http::verb::head || status == 204 || status == 304;
    if (!without_body) {
        response.body() = std::move(answer.body);
        response.content_length(response.body().size());
    }
    set_connection_fields(state, response);
    co_return co_await write_response(state, response);
}

// Passes a large answer on piece by piece.
struct streaming_writer {
    caller_connection_state& state;
    unsigned version;
    http::response<http::buffer_body> message;
    std::optional<http::response_serializer<http::buffer_body>> serializer;

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
        this->serializer.emplace(this->message);
        error_code error;
        co_await http::async_write_header(*this->state.socket, *this->serializer, into(error));
        co_return !error;
    }

    asio::awaitable<bool> write(const char* data, std::size_t size) {
        this->message.body().data = const_cast<char*>(data);
        this->message.body().size = size;
        this->message.body().more = true;
        const socket_timeout timeout(this->state, limits_of(this->state.core).idle_timeout);
        error_code error;
        co_await http::async_write(*this->state.socket, *this->serializer, into(error));
        co_return !error || error == http::error::need_buffer;
    }

    asio::awaitable<void> finish(bool whole) {
        error_code error;
        if (!whole) {
            // Without the last chunk, or short of its length, the answer does not look complete.
            this->state.keep_alive = false;
            this->state.socket->close(error);
            co_return;
        }
        this->message.body().data = nullptr;
        this->message.body().size = 0;
        this->message.body().more = false;
        co_await http::async_write(*this->state.socket, *this->serializer, into(error));
    }
};

answer_sink make_sink(const std::shared_ptr<streaming_writer>& writer) {
    answer_sink sink;
    sink.begin = [writer](const http::response_header<>& head, std::optional<std::uint64_t> length) {
        return writer->begin(head, length);
    };
    sink.write = [writer](const char* data, std::size_t size) { return writer->write(data, size); };
    sink.finish = [writer](bool whole) { return writer->finish(whole); };
    return sink;
}

// What a request became, for the log.
struct request_end {
    unsigned status = 0;
    std::string outcome;
    std::optional<milliseconds> retry_after;
    // The target that answered, its load when the request was sent, and the time it took.
    std::string target;
    double load = 0;
    milliseconds latency{};
};

void log_end(node_core& core, const caller_request& request, const request_plan* plan,
             const request_end& end) {
    const instant now = now_of(core);
    const auto took = std::chrono::floor<milliseconds>(now - request.arrived);
    ++core.metrics.requests_by_outcome[end.outcome];
    log_fields fields;
    fields.add("request", request.id)
        .add("outcome", end.outcome)
        .add("status", end.status)
        .add("took_ms", took.count())
        .add("config", core.config ? core.config->rules().version : 0)
        .add("loop_delay_ms", core.loop_delay.count());
    if (plan != nullptr) {
        fields.add("service", plan->service)
            .add("route", plan->route->name)
            .add("priority", plan->priority)
            .add("workspace", plan->workspace != nullptr ? plan->workspace->name : "");
    }
    if (!end.target.empty()) {
        const auto key = request.head[core.platform.headers().affinity_key];
        fields.add("target", end.target)
            .add("load", end.load)
            .add("target_ms", end.latency.count())
            .add("affinity", std::string_view(key.data(), key.size()));
    }
    if (end.retry_after) {
        fields.add("retry_after_ms", end.retry_after->count());
    }
    node_event event = node_event::request_answered;
    if (end.outcome == "caller_left") {
        event = node_event::caller_left;
    } else if (end.outcome != "answered") {
        event = end.status >= first_failure_status && end.status != 503 ? node_event::request_failed
                                                                        : node_event::request_refused;
    } else {
        observe(core.metrics.answer_latency, took);
    }
    core.log.write(now, event, fields);
}

body_source make_rest(caller_connection_state& state, request_parser& parser) {
    return [&state, &parser](std::string& chunk) -> asio::awaitable<bool> {
        chunk.clear();
        const error_code error = co_await read_body(state, parser, chunk, 1);
        co_return !error;
    };
}

// Runs a planned request and writes its answer. False when the connection must be closed.
asio::awaitable<bool> run_request(caller_connection_state& state, request_parser& parser,
                                  const caller_request& request, const request_plan& plan) {
    node_core& core = state.core;
    auto control = std::make_shared<request_control>();
    const deadline timeout(core.deadlines, plan.give_up_at,
                           [control = control.get()] { time_out(*control); });
    if (!request.has_more_body) {
        asio::co_spawn(core.context, watch_caller(state.socket, control), asio::detached);
    }
    auto writer =
        std::make_shared<streaming_writer>(streaming_writer{state, request.head.version(), {}, std::nullopt});
    body_source rest = request.has_more_body ? make_rest(state, parser) : body_source();
    ++core.requests_in_progress;
    const answer_sink sink = make_sink(writer);
    forward_result result = co_await forward_request(core, request, plan, std::move(rest), control, sink);
    --core.requests_in_progress;
    control->finished = true;
    error_code ignored;
    state.socket->cancel(ignored);
    state.keep_alive = state.keep_alive && (!request.has_more_body || parser.is_done());
    bool good = false;
    request_end end;
    if (auto* answer = std::get_if<target_answer>(&result)) {
        end = {answer->head.result_int(), "answered", {}, answer->target, answer->load, answer->latency};
        good = co_await write_target_answer(state, std::move(*answer), request.head);
    } else if (const auto* local = std::get_if<local_answer>(&result)) {
        end = {local->status, local->reason, local->retry_after, {}, 0, {}};
        good = co_await write_local(state, *local, request.head.version(), request.id);
    } else {
        good = std::get<nothing_to_write>(result).connection_is_good;
        end = {0, good ? "answered" : control->caller_left ? "caller_left" : "broken_off", {}, {}, 0, {}};
    }
    log_end(core, request, &plan, end);
    co_return good;
}

// Reads the head; an error of the caller's is answered.
asio::awaitable<bool> read_head(caller_connection_state& state, request_parser& parser) {
    const caller_limits limits = limits_of(state.core);
    parser.header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(limits.max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
    parser.body_limit(limits.max_body_bytes);
    error_code error;
    {
        const socket_timeout timeout(state, limits.header_timeout);
        co_await http::async_read_header(*state.socket, state.buffer, parser, into(error));
    }
    if (!error) {
        co_return true;
    }
    unsigned status = 0;
    if (error == http::error::header_limit) {
        status = 431;
    } else if (error == http::error::body_limit) {
        status = 413;
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream && error != http::error::partial_message) {
        status = 400;
    }
    if (status != 0) {
        state.keep_alive = false;
        const local_answer answer{status, "malformed_request", {}};
        co_await write_local(state, answer, 11, std::string());
    }
    co_return false;
}

// Serves one request. False when the connection must be closed.
asio::awaitable<bool> serve_request(caller_connection_state& state) {
    request_parser parser;
    caller_request request;
    // The request has waited while the loop was late.
    request.arrived = now_of(state.core) - state.core.loop_delay;
    const bool has_head = co_await read_head(state, parser);
    if (!has_head) {
        co_return false;
    }
    request.head = parser.get().base();
    state.keep_alive = parser.get().keep_alive() && is_accepting(state.core);
    if (boost::beast::iequals(request.head[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, request.head.version());
        error_code error;
        co_await http::async_write(*state.socket, proceed, into(error));
    }
    if (const auto told = parser.content_length()) {
        request.body_length = *told;
    }
    const error_code body_error = co_await read_body(state, parser, request.body, max_buffered_body);
    read_caller_headers(state.core, request);
    if (body_error) {
        if (body_error == http::error::body_limit) {
            state.keep_alive = false;
            const local_answer answer{413, "body_too_large", {}};
            co_await write_local(state, answer, request.head.version(), request.id);
        }
        co_return false;
    }
    request.has_more_body = !parser.is_done();
    const auto plan = plan_request(state.core, request);
    if (!plan) {
        const local_answer& answer = plan.error();
        state.keep_alive = state.keep_alive && !request.has_more_body;
        const bool good = co_await write_local(state, answer, request.head.version(), request.id);
        log_end(state.core, request, nullptr, {answer.status, answer.reason, answer.retry_after, {}, 0, {}});
        co_return good;
    }
    co_return co_await run_request(state, parser, request, *plan);
}

// Lets the caller read the last answer before the connection ends.
asio::awaitable<void> close_gently(caller_connection_state& state) {
    error_code error;
    state.socket->shutdown(tcp::socket::shutdown_send, error);
    if (error) {
        co_return;
    }
    const socket_timeout timeout(state, linger_time);
    std::array<char, read_piece> rest; // NOLINT(cppcoreguidelines-pro-type-member-init): only skipped
    while (!error) {
        co_await state.socket->async_read_some(asio::buffer(rest), into(error));
    }
}

} // namespace

asio::awaitable<void> serve_caller(node_core& core, std::shared_ptr<tcp::socket> socket) {
    ++core.open_caller_connections;
    caller_connection_state state(core, std::move(socket));
    bool good = true;
    while (good && state.keep_alive) {
        good = co_await await_request(state);
        if (good) {
            good = co_await serve_request(state);
        }
        state.buffer.shrink_to_fit();
    }
    if (good) {
        co_await close_gently(state);
    }
    error_code ignored;
    state.socket->close(ignored);
    --core.open_caller_connections;
}

asio::awaitable<void> accept_callers(node_core& core, tcp::acceptor& acceptor) {
    constexpr milliseconds pause_without_descriptors{20};
    for (;;) {
        auto socket = std::make_shared<tcp::socket>(core.context);
        error_code error;
        co_await acceptor.async_accept(*socket, into(error));
        if (!acceptor.is_open() || error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            core.log.write(now_of(core), node_event::internal_error,
                           log_fields().add("what", "accept").add("why", error.message()));
            co_await sleep_for(core.context, pause_without_descriptors);
            continue;
        }
        asio::co_spawn(core.context, serve_caller(core, std::move(socket)), asio::detached);
    }
}

} // namespace cassiaspan
