#include "target_attempt.h"

#include "bounded_parser.h"
#include "forwarding.h"
#include "reach_tracking.h"
#include "relay.h"
#include "retry_after.h"
#include "target_connections.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cassiaspan {

namespace {

// Responses up to this size are read completely before the caller gets the first byte, so that a truncated
// one can still be replaced by a retry.
constexpr std::size_t max_buffered_response_bytes = std::size_t{64} * 1024;
constexpr std::size_t read_chunk_bytes = std::size_t{16} * 1024;
// First read of a body: small ones fit, and a target that sends nothing holds only this.
constexpr std::size_t first_read_bytes = 1024;
constexpr std::uint32_t max_response_header_bytes = 64 * 1024;
static_assert(max_response_header_bytes < max_unparsed_response_bytes);
// Requests up to this size fit into the socket's send buffer: they are written completely before the response
// is read.
constexpr std::size_t max_inline_request_bytes = std::size_t{8} * 1024;
// Longest idle time of a pooled connection on which a request is sent. The target may close an idle
// connection just as the request is sent; a request that is not idempotent could not be retried then, so it
// only uses a connection that was in use shortly before.
constexpr milliseconds max_idle_not_idempotent{1500};
constexpr milliseconds max_idle_idempotent{60'000};
// Upper bound on the remaining cold time that is accepted from a target's response header.
constexpr milliseconds max_cold_time{60'000};
// Responses to other requests that are skipped on one connection before the attempt fails.
constexpr int max_skipped_responses = 4;
// Limit of the body of a response that is skipped. A faulty target may send bytes without end.
constexpr std::size_t max_skipped_body_bytes = std::size_t{1024} * 1024;

using response_parser = bounded_parser<false>;

// State of the write side of an attempt. Shared with the write coroutine of a large request, which runs while
// the response is read and may end after the attempt.
struct request_writer {
    explicit request_writer(const outgoing_request& request)
        : message(request.head), serializer(this->message) {}
    http::request<http::buffer_body> message;
    http::request_serializer<http::buffer_body> serializer;
    bool done = false;
    bool failed = false;
    bool wrote_any_bytes = false;
    // The caller's part of the body could not be read: the request will never be complete.
    bool caller_failed = false;
};

// Writes the chunk in the message body. Returns false if the connection failed.
asio::awaitable<bool> write_chunk(tcp::socket& socket, request_writer& writer) {
    error_code error;
    const std::size_t bytes = co_await http::async_write(socket, writer.serializer, capture_error(error));
    writer.wrote_any_bytes = writer.wrote_any_bytes || bytes > 0;
    co_return !error || error == http::error::need_buffer;
}

// Writes the whole request, including the part of the body that is still to be read from the caller.
asio::awaitable<void> write_request(tcp::socket& socket, request_writer& writer,
                                    const outgoing_request& request) {
    std::string chunk;
    auto& body = writer.message.body();
    body.data = const_cast<char*>(request.body.data());
    body.size = request.body.size();
    body.more = static_cast<bool>(request.remaining_body);
    bool ok = co_await write_chunk(socket, writer);
    while (ok && body.more) {
        ok = co_await request.remaining_body.read(chunk);
        writer.caller_failed = !ok;
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = !chunk.empty();
        if (ok) {
            ok = co_await write_chunk(socket, writer);
        }
    }
    writer.failed = !ok;
    writer.done = true;
}

// Writes the request while the response is being read. Closes the connection if the caller's part of the body
// cannot be read, so that the target does not wait for the rest. Cancels `writer_done` at the end, on which
// the attempt waits.
asio::awaitable<void> write_in_background(tcp::socket& socket, std::shared_ptr<request_writer> writer,
                                          const outgoing_request& request,
                                          std::shared_ptr<asio::steady_timer> writer_done) {
    co_await write_request(socket, *writer, request);
    if (writer->caller_failed) {
        error_code ignored;
        socket.close(ignored);
    }
    writer_done->cancel();
}

// Returns whether the target has ended its direction of the connection, and the connection has not been reset
// since. Once a reset has been reported to a write, a read sees an orderly end of the stream, so that only
// the state of the connection tells the two apart. Where the system does not report the state, the result of
// the write alone decides.
bool has_ended_in_order(tcp::socket& socket) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        info.tcpi_state == 0) {
        return true;
    }
    return info.tcpi_state == TCP_CLOSE_WAIT;
}

bool response_has_no_body(const response_parser& parser, http::verb method) {
    const unsigned status = parser.get().result_int();
    return method == http::verb::head || status == 204 || status == 304 || status / 100 == 1;
}

bool is_interim(unsigned status) {
    return status / 100 == 1 && status != 101;
}

// Returns whether the status is that of a response to a request of this VM, which never asks for another
// protocol.
bool is_valid_status(unsigned status) {
    return is_interim(status) || (status >= 200 && status <= 599);
}

// Returns the timeout parameter of a Keep-Alive header, or 0 if it has none.
milliseconds parse_keep_alive_timeout(boost::beast::string_view text) {
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value(text.data(), text.size());
    const std::size_t begin = value.find(parameter);
    int time = 0;
    if (begin == std::string_view::npos) {
        return milliseconds(0);
    }
    std::from_chars(value.data() + begin + parameter.size(), value.data() + value.size(), time);
    return seconds(time);
}

// Records the load, the speed and the remaining cold time that the target reports in its response header.
// Returns the slowdown, if the header has one.
std::optional<double> record_target_headers(node_core& core, target_record& target,
                                            const http::response_header<>& head) {
    const header_names& names = core.platform.headers();
    const instant now = now_of(core);
    std::optional<double> slowdown;
    const auto load_text = head[names.target_load];
    if (const auto load = core.platform.parse_target_load({load_text.data(), load_text.size()})) {
        target.last_load_report = {static_cast<double>(load->running + load->waiting), target.in_flight, now};
        if (load->speed_percent) {
            target.last_speed_report = {*load->speed_percent, now};
            slowdown = slowdown_of(*load->speed_percent);
        }
    }
    const auto cold_text = head[names.cold_ms];
    std::int64_t cold_ms = 0;
    if (std::from_chars(cold_text.data(), cold_text.data() + cold_text.size(), cold_ms).ec == std::errc() &&
        cold_ms > 0) {
        target.cold_until = std::max(target.cold_until, now + std::min(milliseconds(cold_ms), max_cold_time));
    }
    return slowdown;
}

// Records what the target announces about itself in any of its responses, also in one to another request.
void record_announcements(node_core& core, target_record& target, const http::response_header<>& head) {
    // Another target made this response: the address has been assigned again.
    if (head.result_int() == 421) {
        return;
    }
    const instant now = now_of(core);
    if (head[core.platform.headers().leaving] == "1" && !is_leaving(target.availability)) {
        record_leaving(target.availability, now);
        drop_idle_connections(target);
        core.log.write(now, node_event::target_changed,
                       log_fields()
                           .add("target", target.info.id)
                           .add("service", target.info.service)
                           .add("state", "leaving"));
    }
    const auto retry_after_text = head[http::field::retry_after];
    const auto pause = parse_retry_after({retry_after_text.data(), retry_after_text.size()}, max_pause);
    if (head.result_int() == 503 && pause) {
        const bool was_paused = is_paused(target.availability, now);
        std::uniform_real_distribution<double> jitter(0, 1);
        record_pause(target.availability, *pause, jitter(core.random), now);
        if (!was_paused) {
            core.log.write(now, node_event::target_changed,
                           log_fields()
                               .add("target", target.info.id)
                               .add("service", target.info.service)
                               .add("state", "paused")
                               .add("pause_ms", pause->count()));
        }
    }
}

// Returns whether the response belongs to the request with this id.
bool echoes_request_id(const header_names& names, const http::response_header<>& head,
                       const std::string& id) {
    const auto response_id = head[names.request_id];
    return response_id == boost::beast::string_view(id.data(), id.size());
}

// Classifies a response by its header. A response that was not made by the target itself counts as a failure:
// one with a content encoding, or without the target's seal.
attempt_end classify_response(const header_names& names, const http::response_header<>& head) {
    if (head.result_int() == 421) {
        return attempt_end::misdirected;
    }
    if (head.count(names.not_executed) != 0) {
        return attempt_end::rejected;
    }
    const bool is_own_response =
        head.count(http::field::content_encoding) == 0 && head.count(names.response_seal) != 0;
    return is_own_response ? attempt_end::answered : attempt_end::failed;
}

// One HTTP request and response on one connection.
class http_exchange {
public:
    http_exchange(node_core& core_in, target_record& target_in, target_connection& connection_in,
                  const outgoing_request& request_in, const response_sink& sink_in)
        : core(core_in), target(target_in), connection(connection_in), request(request_in), sink(sink_in) {}

    asio::awaitable<attempt_result> run() {
        const auto writer = this->writer;
        auto writer_done = std::make_shared<asio::steady_timer>(this->core.context);
        writer_done->expires_at(asio::steady_timer::time_point::max());
        const bool fits_socket_buffer =
            !this->request.remaining_body && this->request.body.size() <= max_inline_request_bytes;
        if (fits_socket_buffer) {
            co_await write_request(this->connection.socket, *writer, this->request);
        } else {
            asio::co_spawn(this->core.context,
                           write_in_background(this->connection.socket, writer, this->request, writer_done),
                           [writer, writer_done, &core = this->core](const std::exception_ptr& exception) {
                               if (exception) {
                                   log_exception(core, "request writer", exception);
                                   writer->failed = true;
                                   writer->done = true;
                                   writer_done->cancel();
                               }
                           });
        }
        attempt_result result;
        if (writer->done && writer->failed && !writer->wrote_any_bytes) {
            result.outcome = attempt_end::unreachable;
            result.detail = "connection closed before the request was sent";
        } else {
            co_await this->read_response(result);
        }
        if (!writer->done) {
            // The response ended before the whole request was written, as when a target rejects a request
            // without reading its body. The connection is closed, so that the rest of the body need not be
            // sent.
            this->reusable = false;
            error_code ignored;
            this->connection.socket.close(ignored);
            if (this->request.remaining_body) {
                // The caller may wait for the response before it sends the rest.
                this->request.remaining_body.stop();
            }
            while (!writer->done) {
                co_await writer_done->async_wait(capture_error(ignored));
            }
        }
        this->reusable = this->reusable && !writer->failed;
        co_return result;
    }

    [[nodiscard]] bool is_reusable() const { return this->reusable; }

private:
    asio::awaitable<void> read_response(attempt_result& result) {
        bool skipped_any = false;
        for (int i = 0; i <= max_skipped_responses; ++i) {
            response_parser parser;
            parser.header_limit(max_response_header_bytes);
            parser.body_limit(std::numeric_limits<std::uint64_t>::max());
            // Must be set before the header is read.
            parser.skip(this->request.head.method() == http::verb::head);
            error_code error;
            co_await http::async_read_header(this->connection.socket, this->connection.buffer, parser,
                                             capture_error(error));
            if (error) {
                result.outcome = attempt_end::failed;
                result.detail = error.message();
                // Without a cancellation, the connection has failed.
                if (error != asio::error::operation_aborted && error != asio::error::bad_descriptor &&
                    !skipped_any && !this->target.is_peer) {
                    record_target_failure(this->core, this->target);
                }
                co_return;
            }
            const unsigned status = parser.get().result_int();
            if (!this->target.is_peer) {
                record_target_contact(this->core, this->target);
            }
            if (!is_valid_status(status)) {
                // What follows on the connection cannot be told apart either.
                result.outcome = attempt_end::failed;
                result.detail = "response has the invalid status " + std::to_string(status);
                co_return;
            }
            if (!this->target.is_peer) {
                record_announcements(this->core, this->target, parser.get().base());
            }
            if (is_interim(status)) {
                continue;
            }
            if (echoes_request_id(this->core.platform.headers(), parser.get().base(), this->request.id)) {
                co_await this->read_matching_response(parser, result);
                this->reusable = this->reusable && !skipped_any;
                co_return;
            }
            // A late or duplicate response to another request. The response to this one may still follow.
            skipped_any = true;
            const bool skipped = co_await this->skip_body(parser);
            if (!skipped) {
                break;
            }
        }
        result.outcome = attempt_end::failed;
        result.detail = "response has the id of another request";
    }

    // Reads and discards the body. Returns false if it is truncated or longer than max_skipped_body_bytes.
    asio::awaitable<bool> skip_body(response_parser& parser) {
        std::array<char, read_chunk_bytes>
            chunk; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by reads
        std::size_t skipped_bytes = 0;
        while (!parser.is_done() && skipped_bytes <= max_skipped_body_bytes) {
            auto& body = parser.get().body();
            body.data = chunk.data();
            body.size = chunk.size();
            error_code error;
            co_await http::async_read(this->connection.socket, this->connection.buffer, parser,
                                      capture_error(error));
            skipped_bytes += chunk.size() - body.size;
            if (error && error != http::error::need_buffer) {
                co_return false;
            }
        }
        co_return parser.is_done();
    }

    asio::awaitable<void> read_matching_response(response_parser& parser, attempt_result& result) {
        result.head = parser.get().base();
        result.outcome = classify_response(this->core.platform.headers(), result.head);
        this->record_headers(result);
        if (has_unknown_transfer_coding(parser.get().base())) {
            // The connection is not used again. A refusal keeps its meaning, whatever happens to the body.
            result.outcome = result.outcome == attempt_end::answered ? attempt_end::failed : result.outcome;
            result.detail = "response has an unknown transfer coding";
            co_return;
        }
        if (result.outcome == attempt_end::failed) {
            // The connection is not used again, so the body need not be read.
            result.detail = "response has a content encoding or no seal of the target";
            co_return;
        }
        bool complete = true;
        const bool has_body = !response_has_no_body(parser, this->request.head.method());
        if (has_body && result.outcome == attempt_end::answered) {
            complete = co_await this->read_body(parser, result);
            if (!complete) {
                result.outcome = attempt_end::failed;
                result.detail = "response truncated";
            }
        } else if (has_body) {
            // The header states that the request was not executed, whatever happens to the body.
            complete = co_await this->skip_body(parser);
        }
        this->connection.keep_alive_timeout = parse_keep_alive_timeout(result.head[http::field::keep_alive]);
        this->reusable = complete && parser.get().keep_alive() && this->connection.buffer.size() == 0;
    }

    // Records the headers of a response for the target that made it.
    void record_headers(attempt_result& result) {
        if (!this->target.is_peer) {
            result.slowdown_at_end = record_target_headers(this->core, this->target, result.head);
            if (this->request.is_relayed) {
                result.head.set(relay_headers::target, this->target.info.id);
            }
            return;
        }
        const auto id = result.head[relay_headers::target];
        result.relayed_target.assign(id.data(), id.size());
        const auto found = this->core.targets.all().find(result.relayed_target);
        if (found != this->core.targets.all().end()) {
            record_target_headers(this->core, *found->second, result.head);
            record_announcements(this->core, *found->second, result.head);
        }
        const auto attempts = result.head[relay_headers::attempts];
        std::size_t count = 0;
        if (std::from_chars(attempts.data(), attempts.data() + attempts.size(), count).ec == std::errc()) {
            result.relayed_attempts = count;
        }
        result.relay_refused = result.head.count(relay_headers::refused) != 0;
        result.head.erase(relay_headers::target);
        result.head.erase(relay_headers::attempts);
        result.head.erase(relay_headers::refused);
    }

    // Reads the body into the result. A body larger than max_buffered_response_bytes is passed to the sink
    // instead. Returns false if the body is truncated or the sink fails.
    asio::awaitable<bool> read_body(response_parser& parser, attempt_result& result) {
        memory_reservation reserved(this->core.memory, memory_part::responses);
        // The body while it is buffered, then what was read last.
        std::string& bytes = result.body;
        bool streaming = false;
        while (!parser.is_done()) {
            const std::size_t old_size = streaming ? 0 : bytes.size();
            const std::size_t room =
                streaming ? read_chunk_bytes : std::clamp(old_size, first_read_bytes, read_chunk_bytes);
            bytes.resize(old_size + room);
            auto& body = parser.get().body();
            body.data = bytes.data() + old_size;
            body.size = room;
            error_code error;
            co_await http::async_read(this->connection.socket, this->connection.buffer, parser,
                                      capture_error(error));
            bytes.resize(old_size + room - body.size);
            if (error && error != http::error::need_buffer) {
                if (streaming) {
                    co_await this->sink.finish(false);
                    bytes.clear();
                }
                co_return false;
            }
            if (streaming) {
                const bool written = co_await this->sink.write(bytes.data(), bytes.size());
                if (!written) {
                    result.caller_failed = true;
                    co_await this->sink.finish(false);
                    bytes.clear();
                    co_return false;
                }
                continue;
            }
            const bool may_buffer =
                bytes.size() <= max_buffered_response_bytes && reserved.try_resize(bytes.size());
            if (!may_buffer && !parser.is_done()) {
                streaming = true;
                result.streamed = true;
                const bool started = co_await this->start_streaming(parser, result);
                if (!started) {
                    result.caller_failed = true;
                    co_return false;
                }
                bytes.shrink_to_fit();
                reserved.resize(0);
            }
        }
        const bool complete = co_await this->is_body_complete(parser);
        if (streaming) {
            co_await this->sink.finish(complete);
            bytes.clear();
        }
        co_return complete;
    }

    // Returns whether a body that has been read to the end of the message is complete. Where the message ends
    // with the connection, the connection must have ended in order in both directions: a target that has not
    // accepted the whole request did not end it so.
    asio::awaitable<bool> is_body_complete(const response_parser& parser) {
        if (!parser.need_eof()) {
            co_return true;
        }
        // On a busy VM, the end of the write may have been reported beside that of the response. Its handlers
        // are queued then: one for the write, and one for each layer above it.
        constexpr int max_write_handlers = 4;
        for (int i = 0; i < max_write_handlers && !this->writer->done; ++i) {
            co_await asio::post(this->core.context, asio::use_awaitable);
        }
        co_return this->writer->done && !this->writer->failed && has_ended_in_order(this->connection.socket);
    }

    // Passes the header and the part of the body that has been read to the sink. Returns false if the sink
    // fails.
    asio::awaitable<bool> start_streaming(response_parser& parser, attempt_result& result) {
        std::optional<std::uint64_t> length;
        if (const auto content_length = parser.content_length()) {
            length = *content_length;
        }
        bool ok = co_await this->sink.begin(result.head, length);
        if (ok) {
            ok = co_await this->sink.write(result.body.data(), result.body.size());
        }
        result.body.clear();
        if (!ok) {
            co_await this->sink.finish(false);
        }
        co_return ok;
    }

    node_core& core;
    target_record& target;
    target_connection& connection;
    const outgoing_request& request;
    const response_sink& sink;
    std::shared_ptr<request_writer> writer = std::make_shared<request_writer>(this->request);
    bool reusable = false;
};

target_outcome to_target_outcome(attempt_end end) {
    switch (end) {
    case attempt_end::rejected:
    case attempt_end::misdirected:
        return target_outcome::rejected;
    case attempt_end::unreachable:
        return target_outcome::unreachable;
    case attempt_end::failed:
    case attempt_end::timed_out:
        return target_outcome::failed;
    default:
        return target_outcome::answered;
    }
}

// Updates the time averages of the service and the health of the target after an attempt.
void update_estimates(node_core& core, target_record& target, const request_cancellation& cancellation,
                      const std::optional<bool>& target_is_warm, const attempt_result& result) {
    if (cancellation.caller_left || (cancellation.timed_out && result.outcome == attempt_end::unreachable) ||
        result.outcome == attempt_end::withheld) {
        // This VM ended the attempt: its outcome is no sign of the target's health.
        return;
    }
    const instant now = now_of(core);
    if (target.is_peer) {
        record_outcome(target.health, to_target_outcome(result.outcome), {}, now);
        return;
    }
    const auto slots = static_cast<double>(target.info.slots);
    // Slow phases of the target's machine count neither against the target nor as usual for the service.
    const milliseconds own_time =
        usual_service_time(estimate_service_time(result.target_time, result.load_at_send, slots),
                           result.slowdown_at_send, result.slowdown_at_end);
    service_stats& stats = get_service_stats(core, target.info.service);
    if (result.outcome == attempt_end::answered) {
        stats.service_time = moving_average(stats.service_time, own_time);
        if (target_is_warm) {
            milliseconds& average = *target_is_warm ? stats.warm_time : stats.cold_time;
            average = moving_average(average, own_time);
        }
    }
    const service_times times = expected_service_times(stats);
    const milliseconds usual_time = !target_is_warm   ? stats.service_time
                                    : *target_is_warm ? times.warm
                                                      : times.cold;
    record_outcome(target.health, to_target_outcome(result.outcome), {own_time, usual_time}, now);
    if (result.outcome == attempt_end::unreachable) {
        target.unreachable_since = target.may_have_restarted ? target.unreachable_since : now;
        target.may_have_restarted = true;
        target.last_speed_report.reset();
    }
    if (result.outcome == attempt_end::answered && target.may_have_restarted) {
        // The target responds again after it was unreachable. It is taken to have restarted cold, even if its
        // discovery entry does not say so yet.
        target.may_have_restarted = false;
        const service_rule* rule = core.config ? core.config->find_service(target.info.service) : nullptr;
        if (rule != nullptr) {
            target.cold_until = std::max(target.cold_until, now + rule->cold_start_duration);
        }
    }
}

// Returns the bytes of the request's body that the target will hold. A body of unknown length may become as
// long as the configuration allows.
std::size_t held_body_bytes(const node_core& core, const outgoing_request& request) {
    if (!request.remaining_body) {
        return request.body.size();
    }
    std::uint64_t bytes = core.config ? core.config->rules().limits.max_body_bytes : 0;
    const auto length = request.head[http::field::content_length];
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    return static_cast<std::size_t>(bytes);
}

// Counts the bytes of a body in flight at a target.
class scoped_body_bytes {
public:
    scoped_body_bytes(target_ptr target_in, std::size_t bytes_in)
        : target(std::move(target_in)), bytes(bytes_in) {
        this->target->body_bytes_in_flight += this->bytes;
    }
    ~scoped_body_bytes() { this->target->body_bytes_in_flight -= this->bytes; }
    scoped_body_bytes(const scoped_body_bytes&) = delete;
    scoped_body_bytes& operator=(const scoped_body_bytes&) = delete;
    scoped_body_bytes(scoped_body_bytes&&) = delete;
    scoped_body_bytes& operator=(scoped_body_bytes&&) = delete;

private:
    target_ptr target;
    std::size_t bytes;
};

} // namespace

asio::awaitable<attempt_result> run_attempt(node_core& core, target_ptr target,
                                            const outgoing_request& request, cancellation_ptr cancellation,
                                            const response_sink& sink) {
    attempt_result result;
    const instant started_at = now_of(core);
    const std::size_t body_bytes = core.memory.budget ? held_body_bytes(core, request) : 0;
    const bool fits = body_bytes == 0 || fits_target(body_bytes, target->body_bytes_in_flight,
                                                     count_bucket_replicas(core).total);
    const scoped_body_bytes in_flight_bytes(target, fits ? body_bytes : 0);
    ++target->in_flight;
    const double load = estimate_load(*target, started_at);
    std::unique_ptr<target_connection> connection;
    if (fits) {
        connection = take_idle_connection(
            *target, started_at, request.is_idempotent ? max_idle_idempotent : max_idle_not_idempotent,
            request.id);
    }
    if (fits && !connection && target->open_connections < connection_limit(core, *target)) {
        connection = co_await open_connection(core, target, cancellation);
    }
    const instant sent_at = now_of(core);
    const std::optional<double> slowdown_at_send = fresh_slowdown(target->last_speed_report, sent_at);
    std::optional<double> expected_slowdown;
    if (target->last_speed_report) {
        expected_slowdown = believed_slowdown(target->last_speed_report, sent_at);
    }
    if (connection && is_paused(target->availability, sent_at)) {
        result.outcome = attempt_end::withheld;
        result.detail = "the target asked for a pause while the connection was being opened";
    } else if (connection && !is_cancelled(*cancellation)) {
        http_exchange exchange(core, *target, *connection, request, sink);
        cancellation->active_socket = &connection->socket;
        result = co_await exchange.run();
        // A caller that does not take its response is no sign of the target's health. Without a budget, such
        // an attempt counts as failed, as before.
        if (core.memory.budget && result.caller_failed) {
            cancellation->caller_left = true;
        }
        cancellation->active_socket = nullptr;
        if (!may_have_run(result.outcome)) {
            record_refusal(*connection, request.id);
        }
        const bool may_be_used_again =
            target->is_peer || (core.targets.is_current(*target) && !is_leaving(target->availability));
        if (exchange.is_reusable() && may_be_used_again && !request.id.empty()) {
            pool_connection(*target, std::move(connection), now_of(core));
        }
    } else if (!fits) {
        result.outcome = attempt_end::withheld;
        result.detail = "bodies in flight at the target";
    } else {
        result.detail = "no connection to the target";
    }
    if (connection) {
        record_connection_closed(*target);
    }
    --target->in_flight;
    result.load_at_send = load;
    result.slowdown_at_send = slowdown_at_send;
    result.expected_slowdown = expected_slowdown;
    const instant ended_at = now_of(core);
    result.latency = std::chrono::ceil<milliseconds>(ended_at - started_at);
    result.target_time = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(ended_at - sent_at) -
                                                       target->health.round_trip);
    if (result.outcome != attempt_end::answered && is_cancelled(*cancellation)) {
        // Outcomes of attempts that cannot have run keep their meaning, even if the request was cancelled.
        if (may_have_run(result.outcome)) {
            result.outcome = cancellation->caller_left ? attempt_end::caller_left : attempt_end::timed_out;
        }
    }
    update_estimates(core, *target, *cancellation, request.target_is_warm, result);
    ++(target->is_peer ? core.metrics.relay_attempts_by_outcome
                       : core.metrics.attempts_by_outcome)[to_string(result.outcome)];
    co_return result;
}

} // namespace cassiaspan
