// Callers that stall in short bodies use up the connections of a VM. It says that it is ready and takes no
// other caller.

#include "case.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace cassiaspan;
using namespace cassiaspan::review;
using cassiaspan::test::node_harness;
using cassiaspan::test::test_vm;

namespace {

constexpr int stalled_callers = 960;
constexpr int ordinary_callers = 8;
constexpr milliseconds observed_time{30'000};
// contact-ms of the sheets.
constexpr milliseconds contact_time{4'000};

// One attempt of an ordinary caller to use a new connection.
struct attempt {
    std::chrono::steady_clock::time_point begun_at;
    unsigned status = 0;
};

// Opens a connection, and sends a head and one byte of the body that it announces. Nothing follows.
std::unique_ptr<tcp::socket> stall(asio::io_context& context, const socket_address& vm, int number) {
    auto socket = std::make_unique<tcp::socket>(context);
    socket->connect(to_tcp_endpoint(vm));
    auto request =
        make_request(http::verb::post, "/post/claim", "stalled-" + std::to_string(number), 120'000);
    request.set(http::field::content_length, "100");
    std::ostringstream text;
    text << request;
    asio::write(*socket, asio::buffer(text.str() + "c"));
    return socket;
}

// Returns the longest time in which no attempt that began in it got an answer.
milliseconds longest_refusal(const std::vector<attempt>& attempts,
                             std::chrono::steady_clock::time_point begin,
                             std::chrono::steady_clock::time_point end) {
    auto last_served = begin;
    std::chrono::steady_clock::duration longest{};
    for (const attempt& each : attempts) {
        if (each.status != 0) {
            longest = std::max(longest, each.begun_at - last_served);
            last_served = each.begun_at;
        }
    }
    return std::chrono::duration_cast<milliseconds>(std::max(longest, end - last_served));
}

int run(const std::string& folder) {
    case_record record(folder + "/record.txt");
    node_harness harness;
    harness.set_limits(
        R"({"cpu-share":0.5,"cores":1,"memory-mb":112,"max-fds":2870,"link-mbps":200,"disk-mb":0})");
    harness.platform().put("op/config",
                           make_configuration(2,
                                              json::array({make_route("/get/", "idempotent", 4000),
                                                           make_route("/post/", "non_idempotent", 4000)}),
                                              16'384));
    test_vm& vm = harness.start_vm();
    const socket_address front = node_harness::caller_address_of(vm);
    std::this_thread::sleep_for(seconds(2));
    asio::io_context context;
    std::vector<std::unique_ptr<tcp::socket>> stalled;
    for (int i = 0; has_trouble() && i < stalled_callers; ++i) {
        stalled.push_back(stall(context, front, i));
    }
    record.write(std::to_string(stalled.size()) + " callers have stalled in a body of 100 bytes");
    std::this_thread::sleep_for(seconds(1));

    const auto begin = std::chrono::steady_clock::now();
    const auto end = begin + observed_time;
    std::mutex mutex;
    std::vector<attempt> attempts;
    std::vector<std::thread> callers;
    for (int i = 0; i < ordinary_callers; ++i) {
        callers.emplace_back([&, i] {
            for (int count = 0; std::chrono::steady_clock::now() < end; ++count) {
                attempt made{std::chrono::steady_clock::now()};
                std::string outcome;
                try {
                    kept_connection connection(front);
                    const exchange_result result = connection.send(
                        make_request(http::verb::get, "/get/toy",
                                     "ordinary-" + std::to_string(i) + "-" + std::to_string(count), 3000),
                        4000);
                    made.status = result.status;
                    outcome = result.status != 0 ? std::to_string(result.status) : result.error;
                } catch (const boost::system::system_error& error) {
                    outcome = error.what();
                }
                {
                    const std::lock_guard lock(mutex);
                    attempts.push_back(made);
                }
                record.write("caller " + std::to_string(i) + ", new connection: " + outcome);
                std::this_thread::sleep_for(milliseconds(250));
            }
        });
    }
    int ready_answers = 0;
    int ready_checks = 0;
    while (std::chrono::steady_clock::now() < end) {
        ++ready_checks;
        ready_answers += harness.is_ready(vm) ? 1 : 0;
        std::this_thread::sleep_for(seconds(1));
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    std::sort(attempts.begin(), attempts.end(),
              [](const attempt& left, const attempt& right) { return left.begun_at < right.begun_at; });
    const milliseconds refusal = longest_refusal(attempts, begin, end);
    const bool is_broken = refusal > contact_time && ready_answers == ready_checks;
    record.conclude("RECOVER: readiness checks answered 200: " + std::to_string(ready_answers) + " of " +
                    std::to_string(ready_checks) + "; longest time without a connection taken while " +
                    std::to_string(ordinary_callers) + " callers tried: " + std::to_string(refusal.count()) +
                    " ms, allowed " + std::to_string(contact_time.count()) + ": " +
                    (is_broken ? "broken" : "held"));
    return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int /*argc*/, char** argv) {
    return run_case([&] { return run(argv[1]); });
}
