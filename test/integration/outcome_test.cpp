// Outcomes: at most once, whole answers, drains, stops, crashing requests; the targets' own records decide.

#include "digest.h"
#include "raw_connection.h"
#include "refusals.h"
#include "steady_load.h"
#include "table_test.h"
#include "test_fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <set>
#include <thread>

namespace cassiaspan::test {
namespace {

constexpr milliseconds leaving_time{3000};

// What a target does to an order that must not repeat, and what the caller is told.
struct failure_row {
    std::string name;
    // Mode of all targets; "dead" ends them, "busy" leaves no slot.
    std::string mode;
    std::string outcome;
    std::size_t runs;
};

void check_failure(const failure_row& row) {
    test_fleet fleet(
        {.vms = 2, .slots = row.mode == "busy" ? 0U : 8U, .flags = {"--request-timeout-ms=1500"}});
    // The targets shed everything, while the configuration says that there are slots.
    fleet.start_all_with([&](schema::Configuration& configuration) {
        configuration.mutable_services(0)->set_slots_per_target(8);
    });
    for (std::size_t target = 0; target < 2; ++target) {
        if (row.mode == "dead") {
            fleet.target(target).kill();
        } else if (row.mode != "busy") {
            fleet.control_target(target, row.mode);
        }
    }
    test_call order;
    order.method = "POST";
    order.body = "one invoice";
    CPPUNIT_ASSERT_EQUAL(row.outcome, outcome_of(fleet.call(0, order)));
    CPPUNIT_ASSERT_EQUAL(row.runs, fleet.runs().size());
}

const test_table<failure_row>
    failures("order_failure",
             {{"connect refused", "dead", "no-target/not-run", 0},
              {"shed", "busy", "no-target/not-run", 0},
              {"closed without an answer", "close", "target-failed/unknown", 1},
              {"garbage", "garbage", "target-failed/unknown", 1},
              {"half an answer", "short", "target-failed/unknown", 1},
              {"half a chunked answer", "short-chunked", "target-failed/unknown", 1},
              {"never", "never", "deadline-passed/unknown", 1}},
             check_failure);

void hostile_answers_reach_nobody_else() {
    test_fleet fleet({.vms = 1, .targets = 1});
    fleet.start_all();
    connection_pool pool(parse_address(fleet.caller_address(0)).value());
    for (const std::string mode : {"too-long", "doubled", "short-long", "short"}) {
        fleet.control_target(0, mode);
        test_call first;
        first.method = "POST";
        const auto answer = fleet.call(0, first);
        const bool whole = answer && answer->status == 200;
        CPPUNIT_ASSERT_MESSAGE(mode, !whole || answer->body == "four" || answer->body == "second");
        fleet.control_target(0, "");
        for (int i = 0; i < 5; ++i) {
            const std::string tag = mode + std::to_string(i);
            const auto next = exchange(pool, fleet.guard(),
                                       {"GET",
                                        "/work/x",
                                        "text/plain",
                                        "",
                                        milliseconds{5000},
                                        {{"X-Api-Key", "key-two"}, {"X-Tag", tag}}},
                                       fleet.time());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, std::string("200"), outcome_of(next));
            CPPUNIT_ASSERT_MESSAGE(next->body, next->body.find("X-Tag: " + tag) != std::string::npos);
        }
    }
}

void long_answer_cut_short_is_not_whole() {
    test_fleet fleet({.vms = 1, .targets = 1});
    fleet.start_all();
    fleet.control_target(0, "short-long");
    const raw_connection caller(parse_address(fleet.caller_address(0)).value());
    caller.send("GET /work/x HTTP/1.1\r\nHost: x\r\nX-Api-Key: key-one\r\n\r\n");
    const std::string answer = caller.receive(milliseconds{3000});
    CPPUNIT_ASSERT(answer.find("Content-Length: 1000000") != std::string::npos);
    CPPUNIT_ASSERT(answer.size() < 1'000'000);
    CPPUNIT_ASSERT(caller.is_closed());
}

std::size_t resident_kb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

void large_uploads_arrive_whole() {
    test_fleet fleet({.vms = 1, .targets = 1});
    fleet.start_all();
    const std::size_t before = resident_kb(fleet.vm(0).id());
    std::string photo(20U << 20U, '\0');
    for (std::size_t i = 0; i < photo.size(); ++i) {
        photo[i] = static_cast<char>(i * 2654435761U >> 13U);
    }
    std::vector<std::thread> callers;
    std::atomic<int> whole{0};
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            test_call upload;
            upload.method = "PUT";
            upload.body = photo;
            upload.timeout = milliseconds{30'000};
            const auto answer = fleet.call(0, upload);
            whole += answer && answer->body.find(sha256_hex(photo)) != std::string::npos ? 1 : 0;
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CPPUNIT_ASSERT_EQUAL(4, whole.load());
    // Bodies pass through: four photos are 80 MB.
    CPPUNIT_ASSERT(resident_kb(fleet.vm(0).id()) < before + 20U * 1024);
}

test_call keyed_order(const std::string& key, const std::string& body = "one van") {
    test_call order;
    order.method = "POST";
    order.body = body;
    order.headers = {{"Idempotency-Key", key}, {"X-Tag", key}};
    return order;
}

void same_key_runs_once_from_everywhere() {
    test_fleet fleet({.vms = 4, .regions = 2, .service_time = milliseconds{50}});
    fleet.start_all();
    for (int round = 0; round < 5; ++round) {
        const std::string key = "order-" + std::to_string(round);
        std::vector<std::string> outcomes(4);
        std::vector<std::thread> callers;
        for (std::size_t vm = 0; vm < 4; ++vm) {
            callers.emplace_back([&, vm] { outcomes[vm] = outcome_of(fleet.call(vm, keyed_order(key))); });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT(std::count(outcomes.begin(), outcomes.end(), "200") >= 1);
        // Afterwards every VM replays the stored answer.
        std::set<std::string> answers;
        for (std::size_t vm = 0; vm < 4; ++vm) {
            const auto answer = fleet.call(vm, keyed_order(key));
            CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(answer));
            answers.insert(answer->body);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fleet.runs().size());
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency-key-reused/not-run"),
                         outcome_of(fleet.call(1, keyed_order("order-0", "another van"))));
    // Workspaces do not share keys.
    test_call other = keyed_order("order-0");
    other.key = "key-two";
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(fleet.call(1, other)));
}

// What happens to a VM between an order and its repetition.
struct repeat_row {
    std::string name;
    void (*disturb)(test_fleet& fleet, std::size_t vm);
};

void check_repeat(const repeat_row& row) {
    test_fleet fleet({.vms = 4, .regions = 2});
    fleet.start_all();
    constexpr std::size_t orders = 12;
    for (std::size_t i = 0; i < orders; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::string("200"),
                             outcome_of(fleet.call(i % 4, keyed_order("order-" + std::to_string(i)))));
    }
    for (std::size_t vm = 0; vm < 2; ++vm) {
        row.disturb(fleet, vm);
    }
    for (std::size_t i = 0; i < orders; ++i) {
        const test_call order = keyed_order("order-" + std::to_string(i));
        fleet.wait_until(
            "the answer is replayed",
            [&] {
                const std::string outcome = outcome_of(fleet.call(3, order));
                return outcome == "200" || outcome == "idempotency-record-lost/unknown";
            },
            milliseconds{40'000});
    }
    std::set<std::string> tags;
    for (const target_run& run : fleet.runs()) {
        CPPUNIT_ASSERT_MESSAGE(run.tag + " ran twice", tags.insert(run.tag).second);
    }
    CPPUNIT_ASSERT_EQUAL(orders, tags.size());
}

void kill_and_restart(test_fleet& fleet, std::size_t vm) {
    fleet.vm(vm).kill();
    fleet.start_vm(vm);
    fleet.wait_until(
        "the list is settled",
        [&] {
            const auto status = fleet.status(3);
            const auto fresh = fleet.status(vm);
            return status && fresh && fresh->licensed() && status->members() == 4 &&
                   status->unsettled_lists() == 0 && status->generation() >= 3;
        },
        milliseconds{60'000});
    std::this_thread::sleep_for(seconds{1});
}

void stop_and_restart(test_fleet& fleet, std::size_t vm) {
    fleet.vm(vm).send(SIGTERM);
    CPPUNIT_ASSERT(fleet.vm(vm).wait(milliseconds{40'000}) == 0);
    fleet.start_vm(vm);
}

void cut_off(test_fleet& fleet, std::size_t vm) {
    if (vm == 0) {
        fleet.cut_vm(0, true);
        std::this_thread::sleep_for(seconds{1});
        for (int i = 0; i < 4; ++i) {
            static_cast<void>(fleet.call(0, keyed_order("order-" + std::to_string(i))));
        }
        fleet.cut_vm(0, false);
    }
}

void freeze(test_fleet& fleet, std::size_t vm) {
    fleet.vm(vm).freeze();
    std::this_thread::sleep_for(seconds{4});
    fleet.vm(vm).wake();
}

const test_table<repeat_row> repeats("repeated_order",
                                     {{"VMs killed and restarted", kill_and_restart},
                                      {"VMs stopped and replaced", stop_and_restart},
                                      {"a VM cut off meanwhile", cut_off},
                                      {"VMs frozen meanwhile", freeze}},
                                     check_repeat);

void crashing_request_ends_two_targets_at_most() {
    test_fleet fleet({.vms = 3, .targets = 6, .service_time = milliseconds{20}, .poison = "poison"});
    fleet.start_all();
    steady_load load(fleet, {.vms = {0, 1, 2}, .requests_per_second = 60});
    for (int i = 0; i < 9; ++i) {
        test_call bad;
        bad.path = "/work/bad";
        bad.body = "poison";
        bad.method = "PUT";
        static_cast<void>(fleet.call(static_cast<std::size_t>(i) % 3, bad));
    }
    load.stop();
    std::size_t lost = 0;
    for (std::size_t target = 0; target < 6; ++target) {
        lost += fleet.target(target).wait(milliseconds{0}) ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE("lost " + std::to_string(lost), lost <= 2);
    test_call good;
    good.path = "/work/good";
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(fleet.call(1, good)));
}

void drained_target_gets_no_new_work() {
    test_fleet fleet({.vms = 2, .targets = 4, .service_time = milliseconds{20}});
    fleet.start_all();
    steady_load load(fleet, {.vms = {0, 1}, .requests_per_second = 100});
    std::this_thread::sleep_for(seconds{1});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.ctl_output(), 0,
                                 fleet.ctl({"drain", "start", "d1", "target", "target-0"}));
    std::this_thread::sleep_for(leaving_time);
    const auto count = [&] {
        const auto runs = fleet.runs();
        return std::count_if(runs.begin(), runs.end(),
                             [](const target_run& run) { return run.target == "target-0"; });
    };
    const auto before = count();
    CPPUNIT_ASSERT(before > 0);
    std::this_thread::sleep_for(seconds{2});
    CPPUNIT_ASSERT_EQUAL(before, count());
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"drain", "status"}));
    CPPUNIT_ASSERT(fleet.ctl_output().find("d1  drained  0 requests") != std::string::npos);
    const auto outcomes = load.stop();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcomes.begin()->first);
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"drain", "stop", "d1"}));
    fleet.wait_until("work comes again", [&] {
        static_cast<void>(fleet.call(0, {}));
        return count() > before;
    });
}

void planned_stop_cuts_no_request() {
    test_fleet fleet({.vms = 3, .service_time = milliseconds{200}});
    fleet.start_all();
    steady_load load(fleet,
                     {.vms = {0, 1, 2}, .requests_per_second = 60, .threads = 24, .follow_steer = true});
    std::this_thread::sleep_for(seconds{1});
    fleet.vm(0).send(SIGTERM);
    std::this_thread::sleep_for(seconds{1});
    // A second signal does not cut the stop short.
    fleet.vm(0).send(SIGTERM);
    CPPUNIT_ASSERT(fleet.vm(0).wait(milliseconds{40'000}) == 0);
    const auto outcomes = load.stop();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcomes.rbegin()->first, std::size_t{1}, outcomes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcomes.begin()->first);
}

void deadline_is_passed_on() {
    test_fleet fleet({.vms = 1, .targets = 1});
    fleet.start_all();
    test_call request;
    request.headers = {{"X-Request-Timeout-Ms", "700"}};
    const auto answer = fleet.call(0, request);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(answer));
    const std::size_t at = answer->body.find("X-Request-Timeout-Ms: ");
    CPPUNIT_ASSERT(at != std::string::npos);
    const int passed = std::stoi(answer->body.substr(at + 22));
    CPPUNIT_ASSERT(passed > 0 && passed <= 700);
    request.headers = {{"X-Request-Timeout-Ms", "0"}};
    CPPUNIT_ASSERT_EQUAL(std::string("deadline-passed/not-run"), outcome_of(fleet.call(0, request)));
}

const test_table<scenario>
    scenarios("outcome",
              {{"hostile answers reach nobody else", hostile_answers_reach_nobody_else},
               {"a long answer cut short is not whole", long_answer_cut_short_is_not_whole},
               {"large uploads arrive whole", large_uploads_arrive_whole},
               {"the same key runs once from everywhere", same_key_runs_once_from_everywhere},
               {"a crashing request ends two targets at most", crashing_request_ends_two_targets_at_most},
               {"a drained target gets no new work", drained_target_gets_no_new_work},
               {"a planned stop cuts no request", planned_stop_cuts_no_request},
               {"a deadline is passed on", deadline_is_passed_on}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
