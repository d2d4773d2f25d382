// Tests target selection, VM ranking, the fair queue, quarantine and the peer overlay.

#include "fair_queue.h"
#include "overlay.h"
#include "quarantine.h"
#include "steer.h"
#include "table_test.h"
#include "targets.h"

#include <algorithm>
#include <map>
#include <set>

namespace cassiaspan::test {
namespace {

const instant start{seconds{1000}};

service_config make_service(std::size_t count) {
    service_config service;
    service.slots_per_target = 4;
    service.max_connections_per_target = 330;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string region = i % 2 == 0 ? "ege" : "marmara";
        service.targets.push_back(
            {"t" + std::to_string(i), "127.0.0.1:1", region + "-1", region, std::nullopt});
    }
    return service;
}

std::optional<std::size_t> choose(const service_config& service, const std::vector<target_state>& states,
                                  const std::vector<std::size_t>& tried = {}) {
    static random_engine random(7);
    const location vm_location{"ege", "ege-1"};
    return choose_target({service, states, vm_location, start, std::chrono::system_clock::now(), tried},
                         random)
        .index;
}

void local_targets_are_preferred() {
    const service_config service = make_service(6);
    std::vector<target_state> states(6);
    for (int i = 0; i < 50; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose(service, states) % 2);
    }
    for (const std::size_t local : {0U, 2U, 4U}) {
        states[local].in_flight = 4;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose(service, states) % 2);
    for (target_state& state : states) {
        state.in_flight = 4;
    }
    CPPUNIT_ASSERT(!choose(service, states));
}

void peer_load_reports_expire() {
    const service_config service = make_service(1);
    std::vector<target_state> states(1);
    states[0].peers_in_flight = 4;
    states[0].peers_reported_at = start;
    CPPUNIT_ASSERT(!choose(service, states));
    states[0].peers_reported_at = start - load_report_lifetime;
    CPPUNIT_ASSERT(choose(service, states).has_value());
}

void draining_and_tried_targets_are_skipped() {
    service_config service = make_service(2);
    std::vector<target_state> states(2);
    service.targets[0].drain_starts_at = std::chrono::system_clock::now();
    for (int i = 0; i < 20; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose(service, states));
    }
    CPPUNIT_ASSERT(!choose(service, states, {1}));
}

void ejections_are_limited() {
    std::vector<target_state> states(6);
    int ejected = 0;
    for (std::size_t target = 0; target < states.size(); ++target) {
        for (int i = 0; i < ejection_failure_threshold; ++i) {
            ejected += record_outcome(states, target, false, start) ? 1 : 0;
        }
    }
    CPPUNIT_ASSERT_EQUAL(2, ejected);
    CPPUNIT_ASSERT(!record_outcome(states, 5, true, start));
}

void leaving_vms_are_excluded() {
    random_engine random(1);
    const std::vector<vm_candidate> vms{{"far", "", {"ege", "e1"}, false, true, true},
                                        {"zone", "", {"m", "m1"}, false, true, true},
                                        {"near", "", {"m", "m2"}, false, true, true},
                                        {"unlicensed", "", {"m", "m1"}, false, false, true},
                                        {"leaving", "", {"m", "m1"}, true, true, true}};
    std::vector<std::string> names;
    for (const vm_candidate& vm : rank_vms(vms, {"m", "m1"}, random)) {
        names.push_back(vm.name);
    }
    CPPUNIT_ASSERT(names == std::vector<std::string>({"zone", "near", "far", "unlicensed"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rank_vms({vms[4]}, {"m", "m1"}, random).size());
}

void queue_serves_by_weight() {
    fair_queue queue;
    queue.max_waiting_per_workspace = 100;
    std::map<std::uint64_t, std::string> owners;
    for (int i = 0; i < 60; ++i) {
        owners[*enqueue(queue, "large", 3)] = "large";
        owners[*enqueue(queue, "small", 1)] = "small";
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i) {
        ++served[owners[*dequeue(queue)]];
    }
    CPPUNIT_ASSERT(served["large"] >= 29 && served["large"] <= 31);
}

void queue_is_bounded_per_workspace() {
    fair_queue queue;
    queue.max_waiting_per_workspace = 2;
    const auto first = enqueue(queue, "greedy", 1);
    CPPUNIT_ASSERT(first && enqueue(queue, "greedy", 1));
    CPPUNIT_ASSERT(!enqueue(queue, "greedy", 1));
    CPPUNIT_ASSERT(enqueue(queue, "other", 1).has_value());
    cancel(queue, *first);
    CPPUNIT_ASSERT(enqueue(queue, "greedy", 1).has_value());
}

void second_crash_quarantines() {
    quarantine state;
    record_crash(state, 7, 1, start);
    record_crash(state, 7, 1, start);
    CPPUNIT_ASSERT(!is_quarantined(state, 7, start));
    record_crash(state, 7, 2, start);
    CPPUNIT_ASSERT(is_quarantined(state, 7, start));
    CPPUNIT_ASSERT(!is_quarantined(state, 8, start));
    CPPUNIT_ASSERT(!is_quarantined(state, 7, start + quarantine_duration));
    remove_suspect(state, 7);
    CPPUNIT_ASSERT(!is_suspected(state, 7, start));
}

void overlay_degree_is_bounded_and_all_vms_are_reached() {
    schema::VmList list;
    for (int i = 0; i < 360; ++i) {
        auto* vm = list.add_vms();
        vm->set_name("vm-" + std::to_string(i));
        vm->set_region("r" + std::to_string(i % 9));
        vm->set_availability_zone("r" + std::to_string(i % 9) + "z" + std::to_string(i / 9 % 4));
    }
    std::set<std::string> reached{"vm-0"};
    std::vector<std::string> frontier{"vm-0"};
    int depth = 0;
    while (!frontier.empty() && reached.size() < 360) {
        ++depth;
        std::vector<std::string> next;
        for (const auto& vm : list.vms()) {
            schema::Member self;
            self.set_vm(vm.name());
            self.set_region(vm.region());
            self.set_availability_zone(vm.availability_zone());
            const auto peers = choose_overlay_peers(list, self, 8);
            CPPUNIT_ASSERT(peers.size() <= 8);
            const bool receives = std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
                return std::find(frontier.begin(), frontier.end(), peer.name()) != frontier.end();
            });
            if (receives && reached.insert(vm.name()).second) {
                next.push_back(vm.name());
            }
        }
        frontier = next;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{360}, reached.size());
    CPPUNIT_ASSERT(depth <= 8);
}

const test_table<scenario>
    scenarios("steering",
              {{"local targets are preferred", local_targets_are_preferred},
               {"load reports of peers expire", peer_load_reports_expire},
               {"draining and tried targets are skipped", draining_and_tried_targets_are_skipped},
               {"ejections are limited", ejections_are_limited},
               {"leaving VMs are excluded", leaving_vms_are_excluded},
               {"the queue serves by weight", queue_serves_by_weight},
               {"the queue is bounded per workspace", queue_is_bounded_per_workspace},
               {"the second crash quarantines a request", second_crash_quarantines},
               {"the overlay degree is bounded and all VMs are reached",
                overlay_degree_is_bounded_and_all_vms_are_reached}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
