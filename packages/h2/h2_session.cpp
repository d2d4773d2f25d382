#include "h2_session.h"

#include <algorithm>
#include <array>
#include <nghttp2/nghttp2.h>

namespace cassiaspan {

namespace {

constexpr std::string_view code_header = "x-cassiaspan-code";

nghttp2_nv make_header(std::string_view name, std::string_view value) {
    // nghttp2 copies both unless told otherwise; it only lacks the const.
    auto* name_bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    auto* value_bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    return {name_bytes, value_bytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

struct h2_session::callbacks {
    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t /*flags*/, void* owner) {
        auto* self = static_cast<h2_session*>(owner);
        if (std::string_view(reinterpret_cast<const char*>(name), name_size) == code_header) {
            self->streams[frame->hd.stream_id].incoming.code.assign(reinterpret_cast<const char*>(value),
                                                                    value_size);
        }
        return 0;
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                       const std::uint8_t* data, std::size_t size, void* owner) {
        auto* self = static_cast<h2_session*>(owner);
        std::string& body = self->streams[stream].incoming.body;
        if (body.size() + size > self->max_message_bytes) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        body.append(reinterpret_cast<const char*>(data), size);
        return 0;
    }

    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* owner) {
        auto* self = static_cast<h2_session*>(owner);
        const bool carries = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carries || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        const auto found = self->streams.find(frame->hd.stream_id);
        if (found != self->streams.end()) {
            self->on_message(frame->hd.stream_id, std::move(found->second.incoming));
        }
        return 0;
    }

    static int on_close(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t /*error*/,
                        void* owner) {
        static_cast<h2_session*>(owner)->streams.erase(stream);
        return 0;
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t stream, std::uint8_t* buffer,
                             std::size_t size, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                             void* owner) {
        stream_state& state = static_cast<h2_session*>(owner)->streams[stream];
        const std::size_t total = state.outgoing ? state.outgoing->size() : 0;
        const std::size_t count = std::min(size, total - state.sent);
        if (count > 0) {
            std::copy_n(state.outgoing->data() + state.sent, count, buffer);
        }
        state.sent += count;
        if (state.sent == total) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }

    static std::unique_ptr<h2_session> make(message_handler on_message, bool server,
                                            std::size_t max_message_bytes, std::uint32_t max_streams) {
        std::unique_ptr<h2_session> self(new h2_session(std::move(on_message), max_message_bytes));
        self->is_server = server;
        nghttp2_session_callbacks* hooks = nullptr;
        nghttp2_session_callbacks_new(&hooks);
        nghttp2_session_callbacks_set_on_header_callback(hooks, on_header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(hooks, on_data);
        nghttp2_session_callbacks_set_on_frame_recv_callback(hooks, on_frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(hooks, on_close);
        if (server) {
            nghttp2_session_server_new(&self->session, hooks, self.get());
        } else {
            nghttp2_session_client_new(&self->session, hooks, self.get());
        }
        nghttp2_session_callbacks_del(hooks);
        // A server may not send the last one.
        const std::array<nghttp2_settings_entry, 3> settings{
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, max_peer_message_bytes},
             {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
        nghttp2_submit_settings(self->session, NGHTTP2_FLAG_NONE, settings.data(),
                                server ? settings.size() - 1 : settings.size());
        nghttp2_session_set_local_window_size(self->session, NGHTTP2_FLAG_NONE, 0,
                                              4 * max_peer_message_bytes);
        return self;
    }
};

std::unique_ptr<h2_session> h2_session::make_server(message_handler on_message, std::size_t max_message_bytes,
                                                    std::uint32_t max_streams) {
    return callbacks::make(std::move(on_message), true, max_message_bytes, max_streams);
}

std::unique_ptr<h2_session> h2_session::make_client(message_handler on_message,
                                                    std::size_t max_message_bytes) {
    return callbacks::make(std::move(on_message), false, max_message_bytes, default_max_streams);
}

h2_session::~h2_session() {
    nghttp2_session_del(this->session);
}

bool h2_session::receive(std::string_view bytes) {
    const ssize_t taken = nghttp2_session_mem_recv(
        this->session, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    return taken == static_cast<ssize_t>(bytes.size());
}

std::int32_t h2_session::submit_request(peer_message message) {
    const std::array<nghttp2_nv, 5> headers{make_header(":method", "POST"), make_header(":scheme", "http"),
                                            make_header(":authority", "peer"), make_header(":path", "/peer"),
                                            make_header(code_header, message.code)};
    nghttp2_data_provider provider{{}, callbacks::read_body};
    const std::int32_t stream =
        nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream >= 0) {
        this->streams[stream].outgoing = std::make_shared<const std::string>(std::move(message.body));
    }
    return stream;
}

bool h2_session::submit_reply(std::int32_t stream, peer_message message) {
    return this->submit_reply(stream, message.code,
                              std::make_shared<const std::string>(std::move(message.body)));
}

bool h2_session::submit_reply(std::int32_t stream, std::string_view code,
                              std::shared_ptr<const std::string> body) {
    if (this->streams.count(stream) == 0) {
        return false;
    }
    const std::array<nghttp2_nv, 2> headers{make_header(":status", "200"), make_header(code_header, code)};
    this->streams[stream].outgoing = std::move(body);
    nghttp2_data_provider provider{{}, callbacks::read_body};
    return nghttp2_submit_response(this->session, stream, headers.data(), headers.size(), &provider) == 0;
}

std::string h2_session::take_output(std::size_t enough) {
    std::string output;
    const std::uint8_t* bytes = nullptr;
    for (ssize_t size = 1; size > 0 && output.size() < enough;) {
        size = nghttp2_session_mem_send(this->session, &bytes);
        if (size > 0) {
            output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
        }
    }
    return output;
}

} // namespace cassiaspan
