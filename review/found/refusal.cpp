// A target runs a request that must not be repeated and fails with 503. The caller gets that 503, which
// promises that the request has not run, and sends it again.

#include "case.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace cassiaspan;
using namespace cassiaspan::review;
using cassiaspan::test::node_harness;
using cassiaspan::test::raw_response;
using cassiaspan::test::test_vm;

namespace {

constexpr int payment_count = 120;
constexpr int caller_count = 8;
// One of them fails: a share of 0.14.
constexpr int target_count = 7;
// Of five requests at the failing target, two fail (srv_grey, x 0.4).
constexpr int failing_pattern = 5;
constexpr int failures_per_pattern = 2;

raw_response make_response(const std::string& status_line, const std::string& body) {
    raw_response response;
    response.bytes = "HTTP/1.1 " + status_line +
                     "\r\nCassiaspan-Request-Id: {id}\r\nCassiaspan-Response-Seal: seal\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body;
    return response;
}

// What the callers have sent and received. The caller of a payment is the only one that writes its entries.
struct payment_log {
    std::mutex mutex;
    // The status of each request, and the payment that it was for.
    std::map<std::string, unsigned> status_by_id;
    std::map<std::string, int> payment_by_id;
};

// Sends one payment, and again if the answer promises that it has not run.
void pay(node_harness& harness, const test_vm& vm, int payment, payment_log& log, case_record& record) {
    constexpr int max_requests = 2;
    for (int i = 0; i < max_requests; ++i) {
        const std::string id = "payment-" + std::to_string(payment) + "-request-" + std::to_string(i + 1);
        kept_connection connection(harness.caller_address_of(vm));
        auto request = make_request(http::verb::post, "/post/pay", id, 4000);
        request.body() = "payment " + std::to_string(payment);
        request.prepare_payload();
        const exchange_result result = connection.send(request, 6000);
        record.write(id + ": " + (result.status != 0 ? std::to_string(result.status) : result.error));
        const std::lock_guard lock(log.mutex);
        log.status_by_id[id] = result.status;
        log.payment_by_id[id] = payment;
        if (result.status != 503 && result.status != 429) {
            return;
        }
    }
}

int run(const std::string& folder) {
    case_record record(folder + "/record.txt");
    node_harness harness;
    harness.set_limits(
        R"({"cpu-share":0.5,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000,"disk-mb":0})");
    for (int i = 3; i <= target_count; ++i) {
        harness.platform().add_target("i-" + std::to_string(i), "search", "north-a");
    }
    harness.platform().set_work_time("/post/", milliseconds(100));
    harness.platform().put(
        "op/config",
        make_configuration(2, json::array({make_route("/post/", "non_idempotent", 4000)}), 16'384));
    test_vm& vm = harness.start_vm();
    std::this_thread::sleep_for(seconds(2));
    if (has_trouble()) {
        std::vector<raw_response> responses;
        for (int i = 0; i < 2 * payment_count; ++i) {
            responses.push_back(i % failing_pattern < failures_per_pattern
                                    ? make_response("503 Service Unavailable", "ledger did not answer")
                                    : make_response("200 OK", "paid"));
        }
        harness.platform().script_responses("i-1", responses);
    }
    payment_log log;
    std::atomic<int> next_payment{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < caller_count; ++i) {
        callers.emplace_back([&] {
            for (int payment = next_payment++; payment < payment_count; payment = next_payment++) {
                pay(harness, vm, payment, log, record);
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    int broken_promises = 0;
    std::map<int, int> runs_by_payment;
    for (int i = 1; i <= target_count; ++i) {
        const std::string target = "i-" + std::to_string(i);
        for (const auto& request : harness.platform().received_requests(target)) {
            const std::string& id = request.headers.at("Cassiaspan-Request-Id");
            ++runs_by_payment[log.payment_by_id.at(id)];
            const unsigned status = log.status_by_id.at(id);
            if (status == 503 || status == 429) {
                ++broken_promises;
                record.write(id + " was answered " + std::to_string(status) + " and was run by " + target);
            }
        }
    }
    int double_payments = 0;
    for (const auto& [payment, runs] : runs_by_payment) {
        double_payments += runs > 1 ? 1 : 0;
    }
    const bool is_broken = broken_promises > 0;
    record.conclude("REFUSED: " + std::to_string(broken_promises) +
                    " requests were answered 503 and had run, allowed 0: " + (is_broken ? "broken" : "held") +
                    "; " + std::to_string(double_payments) + " of " + std::to_string(payment_count) +
                    " payments ran twice");
    return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int /*argc*/, char** argv) {
    return run_case([&] { return run(argv[1]); });
}
