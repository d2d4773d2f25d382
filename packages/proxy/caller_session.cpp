#include "caller_session.h"

#include "accept_loop.h"
#include "caller_responses.h"
#include "forwarding.h"
#include "request_plan.h"

#include <array>
#include <limits>

namespace cassiaspan {

namespace {

// Bodies up to this size are read before a target is chosen, so that no slot waits for the caller and the
// request can be sent again.
constexpr std::size_t max_buffered_body = std::size_t{512} * 1024;
constexpr std::size_t read_piece = std::size_t{16} * 1024;
// Time in which the rest of a closed connection's bytes is read, so that no reset overtakes the answer.
constexpr milliseconds linger_time{500};
// Answers whose end is a failure of the VM or a target.
constexpr unsigned first_failure_status = 500;

using request_parser = http::request_parser<http::buffer_body>;

// Waits for the first bytes of a request. False when the connection has ended or was idle for too long.
asio::awaitable<bool> await_request(caller_connection_state& state) {
    // Most heads fit; an idle connection holds no more memory than this.
    constexpr std::size_t first_read = 1024;
    if (state.buffer.size() > 0) {
        co_return true;
    }
    const socket_timeout timeout(state.core, state.socket,
                                 state.idle_timeout.value_or(current_caller_limits(state.core).idle_timeout));
    error_code error;
    const std::size_t count =
        co_await state.socket->async_read_some(state.buffer.prepare(first_read), capture_error(error));
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
        co_await http::async_read(*state.socket, state.buffer, parser, capture_error(error));
        body.append(piece.data(), piece.size() - target.size);
        if (error && error != http::error::need_buffer) {
            co_return error;
        }
    }
    co_return error_code{};
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
    const char* selection_reason = "";
};

void log_end(node_core& core, const caller_request& request, const request_plan* plan,
             const request_end& end) {
    const instant now = now_of(core);
    const auto took = std::chrono::floor<milliseconds>(now - request.received_at);
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
            .add("chosen_as", end.selection_reason)
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
    auto control = std::make_shared<request_cancellation>();
    const scoped_deadline timeout(core.deadlines, plan.deadline,
                                  [control = control.get()] { cancel_on_timeout(*control); });
    if (!request.has_unbuffered_body) {
        asio::co_spawn(core.context, watch_for_caller_disconnect(state.socket, control), asio::detached);
    }
    body_source rest = request.has_unbuffered_body ? make_rest(state, parser) : body_source();
    ++core.requests_in_progress;
    const response_sink sink = make_response_sink(state, request.head.version());
    forward_result result = co_await forward_request(core, request, plan, std::move(rest), control, sink);
    --core.requests_in_progress;
    control->finished = true;
    error_code ignored;
    state.socket->cancel(ignored);
    state.keep_alive = state.keep_alive && (!request.has_unbuffered_body || parser.is_done());
    bool good = false;
    request_end end;
    if (auto* answer = std::get_if<target_response>(&result)) {
        end = {answer->head.result_int(), "answered", {}, answer->target, answer->load, answer->latency,
               answer->selection_reason};
        good = co_await write_target_response(state, std::move(*answer), request.head);
    } else if (const auto* local = std::get_if<local_reply>(&result)) {
        end = {local->status, local->reason, local->retry_after, {}, 0, {}, ""};
        good = co_await write_local_reply(state, *local, request.head.version(), request.id);
    } else {
        good = std::get<nothing_to_write>(result).connection_reusable;
        end = {0, good ? "answered" : control->caller_left ? "caller_left" : "broken_off", {}, {}, 0, {}, ""};
    }
    log_end(core, request, &plan, end);
    co_return good;
}

// Reads the head; an error of the caller's is answered.
asio::awaitable<bool> read_head(caller_connection_state& state, request_parser& parser) {
    const caller_limits limits = current_caller_limits(state.core);
    parser.header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(limits.max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
    parser.body_limit(limits.max_body_bytes);
    error_code error;
    {
        const socket_timeout timeout(state.core, state.socket, limits.header_timeout);
        co_await http::async_read_header(*state.socket, state.buffer, parser, capture_error(error));
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
        const local_reply answer{status, "malformed_request", {}};
        co_await write_local_reply(state, answer, 11, std::string());
    }
    co_return false;
}

// Serves one request. False when the connection must be closed.
asio::awaitable<bool> serve_request(caller_connection_state& state) {
    request_parser parser;
    caller_request request;
    // The request has waited while the loop was late.
    request.received_at = now_of(state.core) - state.core.loop_delay;
    const bool has_head = co_await read_head(state, parser);
    if (!has_head) {
        co_return false;
    }
    request.head = parser.get().base();
    state.keep_alive = parser.get().keep_alive() && is_accepting(state.core);
    if (boost::beast::iequals(request.head[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, request.head.version());
        error_code error;
        co_await http::async_write(*state.socket, proceed, capture_error(error));
    }
    if (const auto told = parser.content_length()) {
        request.body_length = *told;
    }
    const error_code body_error = co_await read_body(state, parser, request.body, max_buffered_body);
    parse_caller_headers(state.core, request);
    if (body_error) {
        if (body_error == http::error::body_limit) {
            state.keep_alive = false;
            const local_reply answer{413, "body_too_large", {}};
            co_await write_local_reply(state, answer, request.head.version(), request.id);
        }
        co_return false;
    }
    request.has_unbuffered_body = !parser.is_done();
    const auto plan = plan_request(state.core, request);
    if (!plan) {
        const local_reply& answer = plan.error();
        state.keep_alive = state.keep_alive && !request.has_unbuffered_body;
        const bool good = co_await write_local_reply(state, answer, request.head.version(), request.id);
        log_end(state.core, request, nullptr,
                {answer.status, answer.reason, answer.retry_after, {}, 0, {}, ""});
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
    const socket_timeout timeout(state.core, state.socket, linger_time);
    std::array<char, read_piece> rest; // NOLINT(cppcoreguidelines-pro-type-member-init): only skipped
    while (!error) {
        co_await state.socket->async_read_some(asio::buffer(rest), capture_error(error));
    }
}

} // namespace

asio::awaitable<void> serve_caller_connection(node_core& core, std::shared_ptr<tcp::socket> socket) {
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
    return accept_connections(core, acceptor, [&core](std::shared_ptr<tcp::socket> socket) {
        return serve_caller_connection(core, std::move(socket));
    });
}

} // namespace cassiaspan
