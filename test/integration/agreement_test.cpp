// What the VMs agree on, under failure: configuration, keys, licence.

#include "digest.h"
#include "raw_connection.h"
#include "refusals.h"
#include "steady_load.h"
#include "table_test.h"
#include "test_fleet.h"

#include <thread>

namespace cassiaspan::test {
namespace {

// The target: an accepted change is in force everywhere within this time.
constexpr milliseconds in_force_time{3000};

std::string outcome_at(test_fleet& fleet, std::size_t vm) {
    return outcome_of(fleet.call(vm, {}));
}

// After a withdrawal was accepted, every VM refuses the key within the stated time, and goes on refusing.
void expect_withdrawn_everywhere(test_fleet& fleet, const std::vector<std::size_t>& vms) {
    const instant accepted = fleet.time().now();
    fleet.wait_until(
        "the key is refused everywhere",
        [&] {
            for (const std::size_t vm : vms) {
                if (outcome_at(fleet, vm) == "200") {
                    return false;
                }
            }
            return true;
        },
        in_force_time);
    CPPUNIT_ASSERT(fleet.time().now() - accepted < in_force_time);
}

void withdrawal_is_in_force_everywhere() {
    test_fleet fleet({.vms = 4, .regions = 2});
    fleet.start_all();
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_at(fleet, 3));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.ctl_output(), 0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    expect_withdrawn_everywhere(fleet, {0, 1, 2, 3});
    // Another workspace's key works on, and a new key works everywhere.
    test_call other;
    other.key = "key-two";
    CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(fleet.call(2, other)));
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"key", "add", "one", "k2", sha256_hex("key-one")}));
    fleet.wait_until(
        "the new key works", [&] { return outcome_at(fleet, 0) == "200" && outcome_at(fleet, 3) == "200"; },
        in_force_time);
}

void restarted_vm_does_not_go_back() {
    test_fleet fleet({.vms = 3});
    fleet.start_all();
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    expect_withdrawn_everywhere(fleet, {0, 1, 2});
    fleet.vm(1).kill();
    fleet.start_vm(1);
    test_call other;
    other.key = "key-two";
    fleet.wait_until("the new incarnation serves", [&] {
        CPPUNIT_ASSERT(outcome_at(fleet, 1) != "200");
        return outcome_of(fleet.call(1, other)) == "200";
    });
    CPPUNIT_ASSERT_EQUAL(std::string("unknown-key/not-run"), outcome_at(fleet, 1));
}

void kept_connection_loses_its_key() {
    test_fleet fleet({.vms = 2});
    fleet.start_all();
    connection_pool pool(parse_address(fleet.caller_address(0)).value());
    const http_call request{"GET", "/work/x",          "text/plain",
                            "",    milliseconds{5000}, {{"X-Api-Key", "key-one"}}};
    CPPUNIT_ASSERT_EQUAL(std::string("200"),
                         outcome_of(exchange(pool, fleet.guard(), request, fleet.time())));
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    fleet.wait_until(
        "the kept connection is refused",
        [&] {
            return outcome_of(exchange(pool, fleet.guard(), request, fleet.time())) == "unknown-key/not-run";
        },
        in_force_time);
}

void slow_upload_ends_with_its_key() {
    test_fleet fleet({.vms = 2});
    fleet.start_all();
    const raw_connection caller(parse_address(fleet.caller_address(0)).value());
    caller.send(
        "POST /work/photo HTTP/1.1\r\nHost: x\r\nX-Api-Key: key-one\r\nContent-Length: 400000\r\n\r\n");
    caller.send(std::string(100'000, 'p'));
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    expect_withdrawn_everywhere(fleet, {0, 1});
    caller.send(std::string(300'000, 'p'));
    const std::string answer = caller.receive(milliseconds{3000});
    CPPUNIT_ASSERT(answer.find("200 OK") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.runs().size());
}

// Cut from the store and from all peers, a VM stops serving keyed work once its proofs have run out.
void isolated_vm_refuses() {
    test_fleet fleet({.vms = 3});
    fleet.start_all();
    standin::link_fault cut;
    cut.cut = true;
    fleet.cut_vm(2, true);
    fleet.set_store_link(2, cut);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.ctl_output(), 0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    expect_withdrawn_everywhere(fleet, {0, 1, 2});
    CPPUNIT_ASSERT_EQUAL(std::string("not-licensed/not-run"), outcome_at(fleet, 2));
    fleet.cut_vm(2, false);
    fleet.set_store_link(2, {});
    fleet.wait_until("it is current again", [&] { return outcome_at(fleet, 2) == "unknown-key/not-run"; });
}

void store_outage_does_not_stop_service() {
    test_fleet fleet({.vms = 4, .regions = 2});
    fleet.start_all();
    fleet.control_store("down=1");
    steady_load load(fleet, {.vms = {0, 1, 2, 3}, .requests_per_second = 50});
    std::this_thread::sleep_for(2 * in_force_time);
    // A VM replaced meanwhile is licensed by the majority of the members.
    fleet.vm(3).kill();
    fleet.start_vm(3);
    fleet.wait_until("the new VM serves", [&] { return outcome_at(fleet, 3) == "200"; });
    std::this_thread::sleep_for(in_force_time);
    const auto outcomes = load.stop();
    for (const auto& [outcome, count] : outcomes) {
        // Requests in flight at the killed VM have no answer.
        CPPUNIT_ASSERT_MESSAGE(outcome + " " + std::to_string(count),
                               outcome == "200" || (outcome == "no answer" && count <= 8));
    }
    fleet.control_store("down=0");
    fleet.wait_until("changes are accepted again", [&] {
        return fleet.ctl({"key", "withdraw", "one", "k1"}) == 0;
    });
    expect_withdrawn_everywhere(fleet, {0, 1, 2, 3});
}

void slow_store_keeps_in_force_time() {
    test_fleet fleet({.vms = 3});
    fleet.start_all();
    fleet.control_store("delay_ms=400");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.ctl_output(), 0,
                                 fleet.ctl({"--wait-ms=15000", "key", "withdraw", "one", "k1"}));
    expect_withdrawn_everywhere(fleet, {0, 1, 2});
}

void lost_answer_changes_nothing_twice() {
    test_fleet fleet({.vms = 2});
    fleet.start_all();
    fleet.control_store("lose_write_answers=1");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.ctl_output(), 0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    fleet.control_store("lose_write_answers=0");
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"key", "withdraw", "one", "k1"}));
    CPPUNIT_ASSERT(fleet.ctl_output().find("in force already") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"history"}));
    const std::string history = fleet.ctl_output();
    const std::size_t first = history.find("key withdraw");
    CPPUNIT_ASSERT(first != std::string::npos &&
                   history.find("key withdraw", first + 1) == std::string::npos);
}

void racing_operators_both_win() {
    test_fleet fleet({.vms = 2});
    fleet.start_all();
    // ctl keeps one output, so the racers are processes of their own.
    std::vector<std::thread> racers;
    std::atomic<int> failures{0};
    for (int i = 0; i < 4; ++i) {
        racers.emplace_back([&, i] {
            const std::string id = "race-" + std::to_string(i);
            failures += fleet.ctl_apart({"key", "add", "one", id, sha256_hex(id)}, id) == 0 ? 0 : 1;
        });
    }
    for (std::thread& racer : racers) {
        racer.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, failures.load());
    for (int i = 0; i < 4; ++i) {
        test_call request;
        request.key = "race-" + std::to_string(i);
        fleet.wait_until(
            "key " + request.key, [&] { return outcome_of(fleet.call(1, request)) == "200"; }, in_force_time);
    }
}

void change_for_another_base_is_a_conflict() {
    test_fleet fleet({.vms = 2});
    fleet.start_all();
    CPPUNIT_ASSERT_EQUAL(0, fleet.ctl({"--operator-name=selin", "key", "withdraw", "one", "k1"}));
    CPPUNIT_ASSERT_EQUAL(4, fleet.ctl({"--base=1", "key", "withdraw", "two", "k1"}));
    CPPUNIT_ASSERT(fleet.ctl_output().find("selin") != std::string::npos);
}

// A relay that is frozen for longer than its lease and its proofs does not serve from what it knew.
void frozen_vm_wakes_up_unlicensed() {
    test_fleet fleet({.vms = 3});
    fleet.start_all();
    std::size_t relay = 0;
    fleet.wait_until("a relay", [&] {
        for (std::size_t vm = 0; vm < 3; ++vm) {
            const auto status = fleet.status(vm);
            if (status && status->relay()) {
                relay = vm;
                return true;
            }
        }
        return false;
    });
    fleet.vm(relay).freeze();
    // Requests that arrive while it is frozen wait in its sockets and are decided as it wakes.
    std::vector<std::string> outcomes(4);
    std::vector<std::thread> callers;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.ctl_output(), 0,
                                 fleet.ctl({"--wait-ms=15000", "key", "withdraw", "one", "k1"}));
    for (std::string& outcome : outcomes) {
        callers.emplace_back([&fleet, &outcome, relay] {
            test_call request;
            request.timeout = milliseconds{20'000};
            outcome = outcome_of(fleet.call(relay, request));
        });
    }
    std::this_thread::sleep_for(2 * in_force_time);
    fleet.vm(relay).wake();
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (const std::string& outcome : outcomes) {
        CPPUNIT_ASSERT_MESSAGE(outcome, outcome != "200");
    }
    fleet.wait_until("it is current again",
                     [&] { return outcome_at(fleet, relay) == "unknown-key/not-run"; });
}

const test_table<scenario>
    scenarios("agreement",
              {{"a withdrawal is in force everywhere", withdrawal_is_in_force_everywhere},
               {"a restarted VM does not go back", restarted_vm_does_not_go_back},
               {"a kept connection loses its key", kept_connection_loses_its_key},
               {"a slow upload ends with its key", slow_upload_ends_with_its_key},
               {"an isolated VM refuses", isolated_vm_refuses},
               {"a store outage does not stop service", store_outage_does_not_stop_service},
               {"a slow store keeps the time to in force", slow_store_keeps_in_force_time},
               {"a lost answer changes nothing twice", lost_answer_changes_nothing_twice},
               {"racing operators both win", racing_operators_both_win},
               {"a change for another base is a conflict", change_for_another_base_is_a_conflict},
               {"a frozen relay wakes up unlicensed", frozen_vm_wakes_up_unlicensed}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
