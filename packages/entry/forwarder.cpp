#include "forwarder.h"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <strings.h>

namespace cassiaspan {

namespace {

// A connection that has been idle for longer may be closed by the target just as a request is sent on it. A
// request that must not run twice cannot be repeated then, so it takes fresher ones only.
constexpr milliseconds max_idle_idempotent{10'000};
constexpr milliseconds max_idle_non_idempotent{250};
// Answers up to this size are read whole before the first byte goes to the caller, in bytes.
constexpr std::size_t buffered_answer_bytes = 64U << 10U;
constexpr int status_unavailable = 503;
constexpr int first_final_status = 200;

bool equals(const std::string& left, const char* right) {
    return strcasecmp(left.c_str(), right) == 0;
}

bool is_hop_by_hop(const std::string& name) {
    constexpr std::array<const char*, 8> names{"Connection",     "Keep-Alive",  "TE",
                                               "Trailer",        "Upgrade",     "Transfer-Encoding",
                                               "Content-Length", "X-Request-Id"};
    return std::any_of(names.begin(), names.end(),
                       [&](const char* dropped) { return equals(name, dropped); });
}

std::string find_header(const http_response_head& head, const char* name) {
    for (const http_header& header : head.headers) {
        if (equals(header.name, name)) {
            return header.value;
        }
    }
    return "";
}

// A target sheds load with 503 and Retry-After: by that it says that it did not begin.
bool is_shed(const http_response_head& head) {
    return head.status == status_unavailable && !find_header(head, "Retry-After").empty();
}

bool expects_no_body(const std::string& method, int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return method == "HEAD" || status == no_content || status == not_modified;
}

// The steps of one attempt share this.
struct exchange_state {
    const attempt_input& input;
    caller_connection& caller;
    http_connection& target;
    const clock& time;
    http_response_head head;
    attempt_result result;
    std::string body;
    bool answer_begun = false;
    // The answer was read to its end and nothing is left on the connection.
    bool clean = false;
};

std::string to_chunk(const std::string& bytes) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

bool send_body_part(exchange_state& state, const std::string& part) {
    if (part.empty()) {
        return true;
    }
    return state.target.write(state.input.head.chunked ? to_chunk(part) : part);
}

// Returns false when the attempt is over, with the outcome set.
bool send_request(exchange_state& state) {
    const attempt_input& input = state.input;
    std::string first = input.forward_head;
    if (!input.body_prefix.empty()) {
        first += input.head.chunked ? to_chunk(input.body_prefix) : input.body_prefix;
    }
    if (input.head.chunked && !input.body_goes_on) {
        first += "0\r\n\r\n";
    }
    // A target may answer, or shed, before it has read everything: a failed write is not yet the end.
    bool writable = state.target.write(first);
    bool goes_on = input.body_goes_on;
    while (writable && goes_on) {
        std::string part;
        const body_progress progress = state.caller.read_more(input.head, part);
        state.result.body_consumed = true;
        const bool broken = progress == body_progress::broken || progress == body_progress::too_large;
        if (broken || !input.still_allowed()) {
            state.result.outcome = attempt_outcome::caller_gone;
            return false;
        }
        writable = send_body_part(state, part);
        goes_on = progress == body_progress::more;
        if (writable && !goes_on && input.head.chunked) {
            writable = state.target.write("0\r\n\r\n");
        }
    }
    return true;
}

bool read_answer_head(exchange_state& state) {
    do {
        const auto left = std::chrono::duration_cast<milliseconds>(state.input.deadline - state.time.now());
        auto head = state.target.read_head(std::max(left, milliseconds{1}));
        if (!head) {
            state.result.outcome = attempt_outcome::failed;
            state.result.died = state.time.now() < state.input.deadline;
            return false;
        }
        state.head = std::move(*head);
    } while (state.head.status < first_final_status);
    state.result.status = state.head.status;
    state.result.content_type = find_header(state.head, "Content-Type");
    return true;
}

std::string render_answer_head(const exchange_state& state, bool known_size, std::size_t size) {
    std::string text = "HTTP/1.1 " + std::to_string(state.head.status) + " " +
                       mg_get_response_code_text(nullptr, state.head.status) + "\r\n";
    for (const http_header& header : state.head.headers) {
        if (!is_hop_by_hop(header.name)) {
            text += header.name + ": " + header.value + "\r\n";
        }
    }
    if (known_size) {
        text += "Content-Length: " + std::to_string(size) + "\r\n";
    } else if (state.head.content_length) {
        text += "Content-Length: " + std::to_string(*state.head.content_length) + "\r\n";
    } else if (!expects_no_body(state.input.head.method, state.head.status)) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += "X-Request-Id: " + state.input.request_id + "\r\n";
    return text + (state.caller.closes() ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n");
}

// Reads up to `limit` bytes; returns whether the body ended cleanly, nothing when it goes on.
std::optional<bool> read_answer_body(exchange_state& state, std::size_t limit, std::size_t& total) {
    std::array<char, 16384> buffer{};
    while (state.body.size() < limit) {
        if (state.head.content_length && static_cast<std::int64_t>(total) == *state.head.content_length) {
            return true;
        }
        const int count = state.target.read(buffer.data(), buffer.size());
        if (count < 0) {
            return false;
        }
        if (count == 0) {
            return !state.head.content_length;
        }
        total += static_cast<std::size_t>(count);
        state.body.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return std::nullopt;
}

bool relay_part(exchange_state& state) {
    const bool sent =
        state.head.content_length ? state.caller.write(state.body) : state.caller.write_chunk(state.body);
    state.body.clear();
    return sent;
}

void relay_long_answer(exchange_state& state, std::size_t total) {
    state.answer_begun = true;
    if (!state.caller.write(render_answer_head(state, false, 0))) {
        state.result.outcome = attempt_outcome::cut;
        return;
    }
    std::optional<bool> ended;
    while (!ended) {
        if (!relay_part(state)) {
            state.result.outcome = attempt_outcome::cut;
            return;
        }
        ended = read_answer_body(state, buffered_answer_bytes, total);
    }
    const bool sent = *ended && (state.body.empty() || relay_part(state));
    if (!sent) {
        // The caller must not take what it has for the whole answer.
        state.caller.abort();
        state.result.outcome = attempt_outcome::cut;
        return;
    }
    if (!state.head.content_length) {
        state.caller.write_chunk("");
    }
    state.clean = true;
    state.result.outcome = attempt_outcome::answered;
}

void relay_answer(exchange_state& state) {
    std::size_t total = 0;
    const bool no_body = expects_no_body(state.input.head.method, state.head.status);
    const std::optional<bool> ended = no_body ? true : read_answer_body(state, buffered_answer_bytes, total);
    if (!ended) {
        relay_long_answer(state, total);
        return;
    }
    if (!*ended) {
        state.result.outcome = attempt_outcome::failed;
        return;
    }
    if (is_shed(state.head)) {
        state.clean = true;
        state.result.shed = true;
        state.result.outcome = attempt_outcome::not_run;
        return;
    }
    state.answer_begun = true;
    state.clean = true;
    state.result.collected_whole = state.body.size() <= state.input.collect_bytes;
    if (state.result.collected_whole) {
        state.result.collected = state.body;
    }
    const bool sized = !no_body || state.head.status != 204;
    const std::string head = no_body ? render_answer_head(state, !state.head.content_length && sized, 0)
                                     : render_answer_head(state, true, state.body.size());
    // A caller that is gone by now does not make the request less run.
    state.caller.write(head + state.body);
    state.result.outcome = attempt_outcome::answered;
}

// A reused connection must hold nothing else: all of the request sent, all of the answer read, both sides
// willing.
bool may_keep(const exchange_state& state, bool guarded, bool sent_whole) {
    return guarded && sent_whole && state.clean && !state.head.closes &&
           (state.head.content_length || state.head.chunked ||
            expects_no_body(state.input.head.method, state.head.status));
}

} // namespace

attempt_result attempt(const attempt_input& input, const target_slot& slot, caller_connection& caller,
                       watchdog& guard, const clock& time) {
    const auto max_idle = input.non_idempotent ? max_idle_non_idempotent : max_idle_idempotent;
    auto taken = slot.pool->take(max_idle, time.now());
    if (!taken) {
        attempt_result result;
        result.outcome = attempt_outcome::not_run;
        return result;
    }
    http_connection target = std::move(taken->connection);
    const auto guarded = guard.watch(target.socket().value_or(-1), input.deadline, input.caller_socket);
    exchange_state state{input, caller, target, time, {}, {}, {}, false, false};
    if (send_request(state) && read_answer_head(state)) {
        relay_answer(state);
    }
    const bool sent_whole = !input.body_goes_on || caller.body_done();
    if (may_keep(state, guarded.finish(), sent_whole)) {
        slot.pool->keep(std::move(target), time.now());
    } else {
        target.close();
    }
    return std::move(state.result);
}

} // namespace cassiaspan
