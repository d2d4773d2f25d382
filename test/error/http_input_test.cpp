// Bad and hostile input of callers, against a VM that stands alone.

#include "digest.h"
#include "raw_connection.h"
#include "refusals.h"
#include "standalone_vm.h"
#include "table_test.h"

#include <thread>
#include <vector>

namespace cassiaspan::test {
namespace {

// Raw bytes, and what the first line of the answer must begin with; an empty one: any answer but a success.
struct input_row {
    std::string name;
    std::string bytes;
    std::string answer;
};

const std::string keyed = "Host: x\r\nX-Api-Key: key-one\r\n";

void check_input(const input_row& row) {
    standalone_vm vm({});
    const raw_connection caller(vm.address());
    caller.send(row.bytes);
    const std::string answer = caller.receive(milliseconds{1500}, "\r\n\r\n");
    const std::string first = answer.substr(0, 12);
    if (row.answer.empty()) {
        CPPUNIT_ASSERT_MESSAGE(answer, first.find(" 2") == std::string::npos);
    } else {
        CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + row.answer, first);
    }
    // Nothing of a refused request reached the target, and the VM still serves.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, vm.runs());
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(vm.call({})));
}

const test_table<input_row> inputs(
    "http_input",
    {
        {"two lengths",
         "POST /work/x HTTP/1.1\r\n" + keyed + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc", "400"},
        {"length and encoding",
         "POST /work/x HTTP/1.1\r\n" + keyed +
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400"},
        {"unknown encoding", "POST /work/x HTTP/1.1\r\n" + keyed + "Transfer-Encoding: gzip\r\n\r\n", ""},
        {"negative length", "POST /work/x HTTP/1.1\r\n" + keyed + "Content-Length: -1\r\n\r\n", ""},
        {"length that is no number", "POST /work/x HTTP/1.1\r\n" + keyed + "Content-Length: 3x\r\n\r\nabc",
         ""},
        {"too large by length", "PUT /work/x HTTP/1.1\r\n" + keyed + "Content-Length: 99999999999\r\n\r\n",
         "413"},
        {"headers too large",
         "GET /work/x HTTP/1.1\r\n" + keyed + "X-Large: " + std::string(40'000, 'a') + "\r\n\r\n", ""},
        {"dots in the path", "GET /open/../work/x HTTP/1.1\r\nHost: x\r\n\r\n", ""},
        {"encoded dots", "GET /open/%2e%2e/work/x HTTP/1.1\r\nHost: x\r\n\r\n", "400"},
        {"encoded slash", "GET /work%2fx HTTP/1.1\r\n" + keyed + "\r\n", "400"},
        {"double slash", "GET //work/x HTTP/1.1\r\n" + keyed + "\r\n", "400"},
        {"two keys", "GET /work/x HTTP/1.1\r\n" + keyed + "Authorization: Bearer key-two\r\n\r\n", "400"},
        {"key in the query only", "GET /work/x?key=key-one HTTP/1.1\r\nHost: x\r\n\r\n", "401"},
        {"no such route", "GET /elsewhere HTTP/1.1\r\n" + keyed + "\r\n", "404"},
        {"route that only begins alike", "GET /workers HTTP/1.1\r\n" + keyed + "\r\n", "404"},
        {"file of the machine", "GET /etc/passwd HTTP/1.1\r\n" + keyed + "\r\n", "404"},
        {"file of the folder", "GET /CMakeLists.txt HTTP/1.1\r\n" + keyed + "\r\n", "404"},
        {"authentication file", "GET /.htpasswd HTTP/1.1\r\n" + keyed + "\r\n", "404"},
        {"directory", "GET / HTTP/1.1\r\n" + keyed + "\r\n", "404"},
        {"put of a file", "PUT /new.cgi HTTP/1.1\r\n" + keyed + "Content-Length: 3\r\n\r\nabc", "404"},
        {"service not in the contract", "GET /other/x HTTP/1.1\r\nHost: x\r\nX-Api-Key: key-two\r\n\r\n",
         "403"},
        {"two idempotency keys",
         "POST /work/x HTTP/1.1\r\n" + keyed +
             "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
         "400"},
        {"no HTTP at all", "\x16\x03\x01\x02", ""},
        {"truncated request", "POST /work/x HTTP/1.1\r\n" + keyed + "Content-Length: 10\r\n\r\nabc", ""},
    },
    check_input);

void target_never_sees_a_key() {
    standalone_vm vm({});
    const raw_connection caller(vm.address());
    caller.send(
        "GET /work/x?a=1&token=key-one&t=key%2Done HTTP/1.1\r\nHost: x\r\nAUTHORIZATION: bearer key-one\r\n"
        "Cookie: a=b; session=key-one\r\nX-Forwarded-Key: key-one\r\nX-Other: Token key-two\r\n"
        "X-Cassiaspan-Workspace: two\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n");
    const std::string answer = caller.receive(milliseconds{2000});
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("200 OK") != std::string::npos);
    for (const std::string leak : {"key-one", "key%2Done", "key-two", "X-Hop", "uthorization"}) {
        CPPUNIT_ASSERT_MESSAGE(leak + " in " + answer, answer.find(leak) == std::string::npos);
    }
    CPPUNIT_ASSERT(answer.find("X-Cassiaspan-Workspace: one") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("a=b") != std::string::npos);
}

// The target: another workspace's request starts within this time.
constexpr milliseconds start_time{100};

void expect_quick_start(standalone_vm& vm) {
    std::this_thread::sleep_for(milliseconds{200});
    for (int i = 0; i < 5; ++i) {
        const instant asked = vm.time().now();
        test_call request;
        request.key = "key-two";
        CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(vm.call(request)));
        CPPUNIT_ASSERT(vm.time().now() - asked < start_time);
    }
}

void idle_callers_keep_nobody_out() {
    standalone_vm vm({"--worker-count=16", "--idle-timeout-ms=20000"});
    std::vector<raw_connection> idle;
    for (int i = 0; i < 16; ++i) {
        idle.emplace_back(vm.address());
        idle.back().send("GET /work/x HTTP/1.1\r\n" + keyed + "\r\n");
        static_cast<void>(idle.back().receive(milliseconds{300}, "\r\n\r\n"));
    }
    expect_quick_start(vm);
}

void slow_callers_keep_nobody_out() {
    standalone_vm vm({"--worker-count=16", "--idle-timeout-ms=20000"});
    std::vector<raw_connection> slow;
    for (int i = 0; i < 16; ++i) {
        slow.emplace_back(vm.address());
        slow.back().send(i % 2 == 0 ? "G"
                                    : "POST /work/x HTTP/1.1\r\n" + keyed + "Content-Length: 1000\r\n\r\na");
    }
    expect_quick_start(vm);
}

const test_table<scenario> scenarios("http_caller",
                                     {{"a target never sees a key", target_never_sees_a_key},
                                      {"idle callers keep nobody out", idle_callers_keep_nobody_out},
                                      {"slow callers keep nobody out", slow_callers_keep_nobody_out}},
                                     run_scenario);

void callers_are_served_over_tls() {
    standalone_vm vm({}, true);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), vm.call_over_tls());
}

const test_table<scenario> tls("http_tls", {{"callers are served over TLS", callers_are_served_over_tls}},
                               run_scenario);

} // namespace
} // namespace cassiaspan::test
