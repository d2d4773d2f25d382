#include "target_attempt.h"

#include "target_connections.h"

#include <array>
#include <charconv>
#include <limits>

namespace cassiaspan {

namespace {

// Answers up to this size are read whole before the caller gets the first byte, so that one that breaks off
// can still be replaced.
constexpr std::size_t max_buffered_answer = std::size_t{64} * 1024;
constexpr std::size_t read_piece = std::size_t{16} * 1024;
constexpr std::uint32_t max_answer_header_bytes = 64 * 1024;
// Requests up to this size fit into the socket's buffer: they are written before the answer is awaited.
constexpr std::size_t max_inline_request = std::size_t{8} * 1024;
// A request that may not be repeated only goes onto a kept connection that was in use just before.
constexpr milliseconds fresh_idle_time{1500};
constexpr milliseconds any_idle_time{60'000};
// An incarnation's counts of cold time are trusted up to this.
constexpr milliseconds max_cold_time{60'000};
// Answers of other requests that are skipped on one connection.
constexpr int max_skipped_answers = 4;

using answer_parser = http::response_parser<http::buffer_body>;

// The writing half of an attempt; outlives the attempt if it still waits for the socket.
struct request_writer {
    explicit request_writer(const outgoing_request& request)
        : message(request.head), serializer(this->message) {}
    http::request<http::buffer_body> message;
    http::request_serializer<http::buffer_body> serializer;
    bool done = false;
    bool failed = false;
    bool wrote_some = false;
};

asio::awaitable<bool> write_piece(tcp::socket& socket, request_writer& writer) {
    error_code error;
    const std::size_t count = co_await http::async_write(socket, writer.serializer, capture_error(error));
    writer.wrote_some = writer.wrote_some || count > 0;
    co_return !error || error == http::error::need_buffer;
}

asio::awaitable<void> write_request(tcp::socket& socket, request_writer& writer,
                                    const outgoing_request& request) {
    std::string chunk;
    auto& body = writer.message.body();
    body.data = const_cast<char*>(request.body.data());
    body.size = request.body.size();
    body.more = static_cast<bool>(request.rest);
    bool good = co_await write_piece(socket, writer);
    while (good && body.more) {
        good = co_await request.rest(chunk);
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = !chunk.empty();
        if (good) {
            good = co_await write_piece(socket, writer);
        }
    }
    writer.failed = !good;
    writer.done = true;
}

// Writes beside the reading of the answer. The attempt waits for its end.
asio::awaitable<void> write_in_background(tcp::socket& socket, std::shared_ptr<request_writer> writer,
                                          const outgoing_request& request,
                                          std::shared_ptr<asio::steady_timer> ended) {
    co_await write_request(socket, *writer, request);
    ended->cancel();
}

bool has_no_body(const answer_parser& parser, http::verb method) {
    const unsigned status = parser.get().result_int();
    return method == http::verb::head || status == 204 || status == 304 || status / 100 == 1;
}

milliseconds parse_keep_alive(boost::beast::string_view text) {
    constexpr std::string_view mark = "timeout=";
    const std::string_view value(text.data(), text.size());
    const std::size_t begin = value.find(mark);
    int time = 0;
    if (begin == std::string_view::npos) {
        return milliseconds(0);
    }
    std::from_chars(value.data() + begin + mark.size(), value.data() + value.size(), time);
    return seconds(time);
}

// Notes what the answer's head says of the target's load and cold state.
void note_statements(node_core& core, target_record& target, const http::response_header<>& head) {
    const header_names& names = core.platform.headers();
    const instant now = now_of(core);
    const auto load_text = head[names.target_load];
    if (const auto load = core.platform.parse_target_load({load_text.data(), load_text.size()})) {
        target.last_load_report = {static_cast<double>(load->running + load->waiting), target.in_flight, now};
    }
    const auto cold_text = head[names.cold_ms];
    std::int64_t cold = 0;
    if (std::from_chars(cold_text.data(), cold_text.data() + cold_text.size(), cold).ec == std::errc() &&
        cold > 0) {
        target.cold_until = std::max(target.cold_until, now + std::min(milliseconds(cold), max_cold_time));
    }
}

bool belongs_to(const header_names& names, const http::response_header<>& head, const std::string& id) {
    const auto echoed = head[names.request_id];
    return echoed == boost::beast::string_view(id.data(), id.size());
}

// Classifies a whole answer. An answer that cannot be the target's own counts as a failure.
attempt_end classify(const header_names& names, const http::response_header<>& head) {
    const unsigned status = head.result_int();
    if (status == 421) {
        return attempt_end::misdirected;
    }
    if (head.count(names.not_executed) != 0) {
        return attempt_end::rejected;
    }
    const bool is_success = status / 100 == 2;
    if (head.count(http::field::content_encoding) != 0 ||
        (is_success && head.count(names.response_seal) == 0)) {
        return attempt_end::failed;
    }
    return attempt_end::answered;
}

// One exchange on one connection.
class exchange {
public:
    exchange(node_core& core_in, target_record& target_in, target_connection& connection_in,
             const outgoing_request& request_in, const response_sink& sink_in)
        : core(core_in), target(target_in), connection(connection_in), request(request_in), sink(sink_in) {}

    asio::awaitable<attempt_result> run() {
        auto writer = std::make_shared<request_writer>(this->request);
        auto ended = std::make_shared<asio::steady_timer>(this->core.context);
        ended->expires_at(asio::steady_timer::time_point::max());
        const bool is_small = !this->request.rest && this->request.body.size() <= max_inline_request;
        if (is_small) {
            co_await write_request(this->connection.socket, *writer, this->request);
        } else {
            asio::co_spawn(this->core.context,
                           write_in_background(this->connection.socket, writer, this->request, ended),
                           asio::detached);
        }
        attempt_result result;
        if (writer->done && writer->failed && !writer->wrote_some) {
            result.end = attempt_end::unreachable;
            result.detail = "connection was closed";
        } else {
            co_await this->read_answer(result);
        }
        if (!writer->done) {
            // The target has answered before it has read the whole body: the rest is owed on no connection.
            this->reusable = false;
            error_code ignored;
            this->connection.socket.close(ignored);
            while (!writer->done) {
                co_await ended->async_wait(capture_error(ignored));
            }
        }
        this->reusable = this->reusable && !writer->failed;
        co_return result;
    }

    [[nodiscard]] bool is_reusable() const { return this->reusable; }

private:
    asio::awaitable<void> read_answer(attempt_result& result) {
        bool skipped = false;
        for (int i = 0; i <= max_skipped_answers; ++i) {
            answer_parser parser;
            parser.header_limit(max_answer_header_bytes);
            parser.body_limit(std::numeric_limits<std::uint64_t>::max());
            error_code error;
            co_await http::async_read_header(this->connection.socket, this->connection.buffer, parser,
                                             capture_error(error));
            if (error) {
                result.end = attempt_end::failed;
                result.detail = error.message();
                co_return;
            }
            if (parser.get().result_int() / 100 == 1) {
                continue;
            }
            if (belongs_to(this->core.platform.headers(), parser.get().base(), this->request.id)) {
                co_await this->read_own_answer(parser, result);
                this->reusable = this->reusable && !skipped;
                co_return;
            }
            // The late or second answer of another request: ours may still follow.
            skipped = true;
            const bool is_whole = co_await this->skip_body(parser);
            if (!is_whole) {
                break;
            }
        }
        result.end = attempt_end::failed;
        result.detail = "answer of another request";
    }

    asio::awaitable<bool> skip_body(answer_parser& parser) {
        attempt_result ignored;
        co_return co_await this->read_body(parser, ignored, false);
    }

    asio::awaitable<void> read_own_answer(answer_parser& parser, attempt_result& result) {
        result.head = parser.get().base();
        result.end = classify(this->core.platform.headers(), result.head);
        note_statements(this->core, this->target, result.head);
        bool is_whole = true;
        if (has_no_body(parser, this->request.head.method())) {
            parser.skip(true);
        } else {
            is_whole = co_await this->read_body(parser, result, result.end == attempt_end::answered);
        }
        if (!is_whole) {
            result.end = attempt_end::failed;
            result.detail = "answer broke off";
            co_return;
        }
        if (result.end == attempt_end::failed) {
            result.detail = "answer without the target's seal";
        }
        this->connection.keep_alive = parse_keep_alive(result.head[http::field::keep_alive]);
        this->reusable = parser.get().keep_alive() && this->connection.buffer.size() == 0 &&
                         result.end != attempt_end::failed;
    }

    // Reads the body into the result; one that is too large goes to the sink. False when it is not whole.
    asio::awaitable<bool> read_body(answer_parser& parser, attempt_result& result, bool deliver) {
        std::array<char, read_piece> piece; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by reads
        bool streaming = false;
        while (!parser.is_done()) {
            auto& body = parser.get().body();
            body.data = piece.data();
            body.size = piece.size();
            error_code error;
            co_await http::async_read(this->connection.socket, this->connection.buffer, parser,
                                      capture_error(error));
            const std::size_t count = piece.size() - body.size;
            if (error && error != http::error::need_buffer) {
                if (streaming) {
                    co_await this->sink.finish(false);
                }
                co_return false;
            }
            if (streaming) {
                const bool written = co_await this->sink.write(piece.data(), count);
                if (!written) {
                    co_await this->sink.finish(false);
                    co_return false;
                }
                continue;
            }
            result.body.append(piece.data(), count);
            if (deliver && result.body.size() > max_buffered_answer && !parser.is_done()) {
                streaming = true;
                result.streamed = true;
                const bool started = co_await this->start_streaming(parser, result);
                if (!started) {
                    co_return false;
                }
            }
        }
        if (streaming) {
            co_await this->sink.finish(true);
        }
        co_return true;
    }

    asio::awaitable<bool> start_streaming(answer_parser& parser, attempt_result& result) {
        std::optional<std::uint64_t> length;
        if (const auto told = parser.content_length()) {
            length = *told;
        }
        bool good = co_await this->sink.begin(result.head, length);
        if (good) {
            good = co_await this->sink.write(result.body.data(), result.body.size());
        }
        result.body.clear();
        if (!good) {
            co_await this->sink.finish(false);
        }
        co_return good;
    }

    node_core& core;
    target_record& target;
    target_connection& connection;
    const outgoing_request& request;
    const response_sink& sink;
    bool reusable = false;
};

target_outcome outcome_of(attempt_end end) {
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

// Brings beliefs up to date after an attempt.
void learn(node_core& core, target_record& target, const request_cancellation& control,
           const std::optional<bool>& target_is_warm, const attempt_result& result) {
    if (control.caller_left || (control.timed_out && result.end == attempt_end::unreachable)) {
        // The end says nothing about the target.
        return;
    }
    const instant now = now_of(core);
    const auto slots = static_cast<double>(target.info.slots);
    const milliseconds own = estimate_service_time(result.target_time, result.load, slots);
    service_stats& learned = get_service_stats(core, target.info.service);
    if (result.end == attempt_end::answered) {
        learned.service_time = moving_average(learned.service_time, own);
        if (target_is_warm) {
            milliseconds& learned_time = *target_is_warm ? learned.warm_time : learned.cold_time;
            learned_time = moving_average(learned_time, own);
        }
    }
    const service_times times = expected_service_times(learned);
    const milliseconds usual = !target_is_warm   ? learned.service_time
                               : *target_is_warm ? times.warm
                                                 : times.cold;
    record_outcome(target.health, outcome_of(result.end), {own, usual}, now);
    if (result.end == attempt_end::unreachable) {
        target.may_have_restarted = true;
    }
    if (result.end == attempt_end::answered && target.may_have_restarted) {
        // The target is back after it was unreachable: it starts cold, also before its entry says so.
        target.may_have_restarted = false;
        const service_rule* rule = core.config ? core.config->find_service(target.info.service) : nullptr;
        if (rule != nullptr) {
            target.cold_until = std::max(target.cold_until, now + rule->cold_time);
        }
    }
}

} // namespace

asio::awaitable<attempt_result> run_attempt(node_core& core, target_ptr target,
                                            const outgoing_request& request, cancellation_ptr control,
                                            const response_sink& sink) {
    attempt_result result;
    const instant begun = now_of(core);
    ++target->in_flight;
    const double load = estimate_load(*target, begun);
    std::unique_ptr<target_connection> connection =
        take_idle_connection(*target, begun, request.may_repeat ? any_idle_time : fresh_idle_time);
    if (!connection && target->open_connections < connection_limit(core, *target)) {
        connection = co_await open_connection(core, target, control);
    }
    const instant sent = now_of(core);
    if (connection && !is_cancelled(*control)) {
        exchange one(core, *target, *connection, request, sink);
        control->active_socket = &connection->socket;
        result = co_await one.run();
        control->active_socket = nullptr;
        if (one.is_reusable()) {
            pool_connection(*target, std::move(connection), now_of(core));
        }
    } else {
        result.detail = "no connection";
    }
    if (connection) {
        record_connection_closed(*target);
    }
    --target->in_flight;
    result.load = load;
    const instant ended = now_of(core);
    result.latency = std::chrono::ceil<milliseconds>(ended - begun);
    result.target_time =
        std::max(milliseconds(1), std::chrono::ceil<milliseconds>(ended - sent) - target->health.round_trip);
    if (result.end != attempt_end::answered && is_cancelled(*control)) {
        // An attempt without a connection cannot have run, whatever ended it.
        if (may_have_run(result.end)) {
            result.end = control->caller_left ? attempt_end::caller_left : attempt_end::timed_out;
        }
    }
    learn(core, *target, *control, request.target_is_warm, result);
    ++core.metrics.attempts_by_outcome[to_string(result.end)];
    co_return result;
}

} // namespace cassiaspan
