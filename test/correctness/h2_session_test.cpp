// Limits of a session between VMs: a peer must not fill a VM's memory.

#include "h2_session.h"
#include "table_test.h"

#include <nghttp2/nghttp2.h>

namespace cassiaspan::test {
namespace {

constexpr std::size_t max_message_bytes = 1024;
constexpr std::uint32_t max_streams = 4;

struct request_row {
    std::string name;
    std::size_t request_bytes;
    int requests;
    bool is_connection_kept;
    std::size_t received_requests;
};

// Guards against a peer that keeps many or long requests open on one connection.
void check_requests(const request_row& row) {
    std::size_t received = 0;
    const auto server = h2_session::make_server(
        [&received](std::int32_t /*stream*/, const peer_message& /*message*/) { ++received; },
        max_message_bytes, max_streams);
    const auto client =
        h2_session::make_client([](std::int32_t /*stream*/, const peer_message& /*message*/) {});
    for (int i = 0; i < row.requests; ++i) {
        CPPUNIT_ASSERT(client->submit_request({"code", std::string(row.request_bytes, 'x')}) >= 0);
    }
    CPPUNIT_ASSERT_EQUAL(row.is_connection_kept, server->receive(client->take_output()));
    CPPUNIT_ASSERT_EQUAL(row.received_requests, received);
}

const test_table<request_row> requests("h2_session requests",
                                       {{"one of the largest size", max_message_bytes, 1, true, 1},
                                        {"one that is too large", max_message_bytes + 1, 1, false, 0},
                                        {"as many as allowed", 10, 4, true, 4},
                                        {"too many at a time", 10, 10, true, 4}},
                                       check_requests);

// Guards against a peer that replies to one request with many streams of its own.
void a_client_accepts_no_pushed_streams() {
    const auto client =
        h2_session::make_client([](std::int32_t /*stream*/, const peer_message& /*message*/) {});
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session* server = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_server_new(&server, callbacks, nullptr);
    nghttp2_session_callbacks_del(callbacks);
    const std::string output = client->take_output();
    const ssize_t taken =
        nghttp2_session_mem_recv(server, reinterpret_cast<const std::uint8_t*>(output.data()), output.size());
    const std::uint32_t push = nghttp2_session_get_remote_settings(server, NGHTTP2_SETTINGS_ENABLE_PUSH);
    nghttp2_session_del(server);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(output.size()), taken);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, push);
}

const test_table<scenario>
    scenarios("h2_session", {{"a client accepts no pushed streams", a_client_accepts_no_pushed_streams}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
