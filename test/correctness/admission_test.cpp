// Admission of requests by class: division of slots, even refusal, kept slots, and the waiting queue.

#include "admission.h"
#include "stable_hash.h"
#include "table_test.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cassiaspan::test {
namespace {

constexpr class_priority urgent{0, 0};
constexpr class_priority ordinary{2, 2};

route_rule make_route(int priority, const std::string& service = "search") {
    route_rule route;
    route.priority = priority;
    route.split = {{service, 1}};
    return route;
}

workspace_rule make_workspace(std::optional<int> priority) {
    workspace_rule workspace;
    workspace.priority = priority;
    return workspace;
}

struct classes_row {
    std::string name;
    std::vector<route_rule> routes;
    std::vector<workspace_rule> workspaces;
    std::vector<class_priority> expected;
};

// Guards against classes where the configuration requires none, which would change how other services are
// served, and against a ranking by the route alone.
void check_classes(const classes_row& row) {
    steering_rules rules;
    rules.routes = row.routes;
    rules.workspaces = row.workspaces;
    CPPUNIT_ASSERT(find_classes(rules, "search") == row.expected);
    CPPUNIT_ASSERT_EQUAL(row.expected.size(), find_objectives(rules, "search", row.expected).size());
    for (const class_priority& each : row.expected) {
        CPPUNIT_ASSERT(unpack_priority(pack_priority(each)) == each);
        CPPUNIT_ASSERT(row.expected[find_class(row.expected, each)] == each);
    }
}

route_rule make_public(route_rule route) {
    route.is_public = true;
    return route;
}

std::vector<class_priority> first_classes(int count) {
    std::vector<class_priority> classes;
    classes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        classes.push_back({i, i});
    }
    return classes;
}

std::vector<route_rule> make_routes(int count) {
    std::vector<route_rule> routes;
    routes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        routes.push_back(make_route(i));
    }
    return routes;
}

const test_table<classes_row> class_rows(
    "admission classes",
    {{"one route", {make_route(2)}, {}, {}},
     {"routes of the same priority", {make_route(2), make_route(2)}, {make_workspace({})}, {}},
     {"a route to another service", {make_route(2), make_route(0, "other")}, {}, {}},
     {"routes of two priorities", {make_route(2), make_route(0)}, {}, {{0, 0}, {2, 2}}},
     {"workspaces of two priorities go before the routes",
      {make_route(1), make_route(2)},
      {make_workspace(1), make_workspace(0)},
      {{0, 1}, {0, 2}, {1, 1}, {1, 2}}},
     {"a workspace without a priority",
      {make_route(1), make_route(3)},
      {make_workspace({}), make_workspace(0)},
      {{0, 1}, {0, 3}, {1, 1}, {3, 3}}},
     {"workspaces of two priorities, routes of one",
      {make_route(1)},
      {make_workspace(2), make_workspace(0)},
      {}},
     {"a public route has no workspaces",
      {make_public(make_route(1))},
      {make_workspace(0), make_workspace(2)},
      {}},
     {"priorities beyond the bounds", {make_route(-5), make_route(70000)}, {}, {{0, 0}, {65535, 65535}}},
     {"more classes than are kept", make_routes(20), {}, first_classes(16)}},
    check_classes);

struct division_row {
    std::string name;
    std::vector<class_demand> classes;
    double slots;
    std::vector<double> fractions;
};

void check_division(const division_row& row) {
    constexpr double tolerance = 0.002;
    const std::vector<class_share> shares = divide_slots(row.classes, row.slots);
    CPPUNIT_ASSERT_EQUAL(row.fractions.size(), shares.size());
    for (std::size_t i = 0; i < shares.size(); ++i) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(row.fractions[i], shares[i].fraction, tolerance);
    }
}

const test_table<division_row> divisions(
    "admission division",
    {{"enough slots", {{100, 0.1}, {50, 1}}, 60, {1, 1}},
     {"a low class with long work cannot take all slots", {{157, 0.1}, {199, 1.2}}, 100, {1, 0.353}},
     {"two classes with equal demand at twice the capacity", {{100, 1}, {100, 1}}, 100, {0.85, 0.15}},
     {"a class of higher priority that has stopped", {{0, 1}, {200, 1}}, 100, {1, 0.5}},
     // A quarter of the proportional part would be 0.125, but 0.81 of all requests would be admitted.
     {"many short urgent requests", {{1000, 0.1}, {100, 1}}, 100, {0.7810, 0.2190}},
     {"three classes, the middle one partly served", {{50, 1}, {100, 1}, {50, 1}}, 100, {1, 0.425, 0.15}},
     {"a low class without requests", {{200, 1}, {0, 1}}, 100, {0.5, 0.5}},
     {"no slots", {{10, 1}, {10, 1}}, 0, {0, 0}},
     {"no classes", {}, 10, {}}},
    check_division);

// Guards against a division that users do not accept, at loads that no row names: more slots than there are,
// a more urgent class served less often, or a class served less than a quarter as often as all requests.
void any_load_is_divided_as_users_require() {
    constexpr double tolerance = 1e-3;
    std::mt19937_64 random(4);
    std::uniform_real_distribution<double> unit(0, 1);
    for (int round = 0; round < 2000; ++round) {
        std::vector<class_demand> classes(2 + random() % 5);
        double wanted = 0;
        for (class_demand& each : classes) {
            each = {std::exp(unit(random) * 7), std::exp(unit(random) * 4 - 3)};
            wanted += each.rate * each.slot_time;
        }
        const double slots = wanted * unit(random) * 1.2;
        const std::vector<class_share> shares = divide_slots(classes, slots);
        double used = 0;
        double asked = 0;
        double admitted = 0;
        for (std::size_t i = 0; i < classes.size(); ++i) {
            used += shares[i].slots;
            asked += classes[i].rate;
            admitted += classes[i].rate * shares[i].fraction;
            CPPUNIT_ASSERT(i == 0 || shares[i].fraction <= shares[i - 1].fraction + tolerance);
            CPPUNIT_ASSERT(shares[i].fraction >= std::min(1.0, slots / wanted) / 4 - tolerance);
        }
        CPPUNIT_ASSERT(used <= slots * (1 + tolerance));
        CPPUNIT_ASSERT(used >= std::min(slots, wanted) * (1 - tolerance));
        CPPUNIT_ASSERT(shares.back().fraction >= 0.3 * admitted / asked - tolerance);
    }
}

// Guards against a burst of one workspace that uses the share of the others, and against refusals in a row.
void a_burst_of_one_workspace_uses_its_own_fraction() {
    admission_accumulators accumulators;
    int burst = 0;
    int other = 0;
    for (int i = 0; i < 1000; ++i) {
        burst += take_share(accumulators, ordinary, 1, 0.4, 7) ? 1 : 0;
        if (i % 100 == 99) {
            other += take_share(accumulators, ordinary, 2, 0.4, 7) ? 1 : 0;
        }
        CPPUNIT_ASSERT(std::abs(burst - 0.4 * (i + 1)) <= 1);
    }
    CPPUNIT_ASSERT_EQUAL(4, other);
}

// Guards against many VMs that decide their first request of a workspace alike: most of a workspace's
// requests are first ones in a large fleet.
void first_requests_at_many_vms_are_admitted_in_part() {
    int admitted = 0;
    for (std::uint64_t vm = 0; vm < 1000; ++vm) {
        admission_accumulators accumulators;
        admitted += take_share(accumulators, ordinary, 1, 0.3, stable_hash("vm", vm)) ? 1 : 0;
    }
    CPPUNIT_ASSERT(admitted > 250 && admitted < 350);
}

// Guards against memory that grows with the number of workspaces.
void accumulators_are_bounded() {
    admission_accumulators accumulators;
    int admitted = 0;
    for (std::uint32_t workspace = 1; workspace <= 10'000; ++workspace) {
        admitted += take_share(accumulators, ordinary, workspace, 0.5, 7) ? 1 : 0;
    }
    CPPUNIT_ASSERT(accumulators.credits.size() <= max_accumulators + 1);
    CPPUNIT_ASSERT(admitted > 4900 && admitted < 5100);
}

// Guards against slots that stay free for requests that can wait for one, and against urgent requests that
// wait behind long ones.
void slots_are_kept_for_requests_that_cannot_wait() {
    CPPUNIT_ASSERT(needs_kept_slots(0.2, 0.1, 1.2, 3));
    CPPUNIT_ASSERT(!needs_kept_slots(0.8, 0.3, 0.6, 3));
    CPPUNIT_ASSERT(needs_kept_slots(0.2, 0.3, 0.1, 3));
}

// Guards against a shortage that begins and ends with each variation of the demand.
void a_shortage_has_hysteresis() {
    slot_shortage shortage;
    const auto after = [&shortage](double pressure, nanoseconds time) {
        for (nanoseconds passed{}; passed < time; passed += milliseconds(200)) {
            update_shortage(shortage, {{pressure * 100, 1}}, pressure * 100, 100, milliseconds(200));
        }
        return shortage.is_short;
    };
    CPPUNIT_ASSERT(!after(0.95, seconds(5)));
    CPPUNIT_ASSERT(!after(1.5, milliseconds(200)) || shortage.pressure >= 1);
    CPPUNIT_ASSERT(after(1.5, seconds(1)));
    CPPUNIT_ASSERT(after(0.95, seconds(5)));
    CPPUNIT_ASSERT(!after(0.8, seconds(3)));
}

// Guards against refusals while targets have free slots: a few runs of many times the usual work raise the
// expected occupancy above the slots, although most slots are free.
void a_service_with_free_slots_is_not_short() {
    slot_shortage shortage;
    for (int i = 0; i < 50; ++i) {
        update_shortage(shortage, {{150, 1}}, 70, 100, milliseconds(200));
        CPPUNIT_ASSERT(!shortage.is_short);
    }
}

struct kept_row {
    std::string name;
    double slots;
    double occupancy;
    // Average over many targets.
    double expected;
};

// Guards against urgent requests that find all slots of a target taken, and against less urgent classes that
// get no slot where urgent requests already run.
void check_kept(const kept_row& row) {
    constexpr int targets = 2000;
    double sum = 0;
    for (std::uint64_t i = 0; i < targets; ++i) {
        const double usable = slots_for_class(row.slots, row.occupancy, mix_hash(i));
        CPPUNIT_ASSERT(usable >= row.slots - 1 && usable <= row.slots);
        sum += usable;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(row.expected, sum / targets, 0.04);
}

const test_table<kept_row> kept_slots("admission kept slots",
                                      {{"no urgent requests", 3, 0, 3},
                                       {"a part of a slot is kept at a part of the targets", 3, 0.1, 2.7},
                                       {"a whole slot", 3, 1, 2},
                                       {"urgent requests use most slots", 6, 4.5, 5},
                                       {"targets of one slot", 1, 0.4, 0.6}},
                                      check_kept);

// Guards against a request that is served before a more urgent one, or before one with less time.
void the_queue_is_ordered_by_priority_and_time() {
    const instant now{seconds(1000)};
    waiting_queue queue;
    const std::uint64_t low = enter_queue(queue, ordinary, now);
    const std::uint64_t late = enter_queue(queue, urgent, now + seconds(2));
    const std::uint64_t soon = enter_queue(queue, urgent, now + seconds(1));
    const std::uint64_t same = enter_queue(queue, urgent, now + seconds(1));
    const std::vector<std::uint64_t> order{soon, same, late, low};
    for (std::size_t i = 0; i < order.size(); ++i) {
        CPPUNIT_ASSERT(position_in_queue(queue, order[i]) == i);
    }
    leave_queue(queue, soon);
    CPPUNIT_ASSERT(!position_in_queue(queue, soon));
    CPPUNIT_ASSERT(position_in_queue(queue, same) == 0);
}

// Guards against a queue that grows with the load, and against urgent requests that a full queue turns away.
void a_full_queue_keeps_the_most_urgent() {
    const instant now{seconds(1000)};
    waiting_queue queue;
    std::uint64_t last = 0;
    for (std::size_t i = 0; i < max_waiting; ++i) {
        last = enter_queue(queue, ordinary, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, enter_queue(queue, ordinary, now));
    const std::uint64_t first = enter_queue(queue, urgent, now);
    CPPUNIT_ASSERT(position_in_queue(queue, first) == 0);
    CPPUNIT_ASSERT(!position_in_queue(queue, last));
    CPPUNIT_ASSERT_EQUAL(max_waiting, queue.places.size());
}

struct wait_row {
    std::string name;
    milliseconds to_objective;
    milliseconds to_deadline;
    milliseconds work;
    // Unset if the request may not wait.
    std::optional<milliseconds> expected;
};

void check_wait(const wait_row& row) {
    const instant now{seconds(1000)};
    const auto end = end_of_wait(now, now + row.to_objective, now + row.to_deadline, row.work);
    CPPUNIT_ASSERT_EQUAL(row.expected.has_value(), end.has_value());
    CPPUNIT_ASSERT(!end || *end == now + *row.expected);
}

using ms = milliseconds;
const test_table<wait_row> waits("admission wait",
                                 {{"an eighth of the objective", ms(800), ms(6000), ms(300), ms(100)},
                                  {"not beyond the deadline", ms(800), ms(800), ms(750), ms(50)},
                                  {"the objective cannot be met", ms(300), ms(6000), ms(300), {}},
                                  {"the objective has passed", ms(-10), ms(6000), ms(1), {}}},
                                 check_wait);

struct retry_row {
    std::string name;
    milliseconds expected;
    double fraction;
    milliseconds time_left;
    milliseconds result;
};

// Guards against a Retry-After at which the class has no room yet, and against one that callers cut short, at
// which they all return too early.
void check_retry(const retry_row& row) {
    CPPUNIT_ASSERT_EQUAL(row.result.count(),
                         class_retry_after(row.expected, row.fraction, row.time_left, 1).count());
}

const test_table<retry_row> retries("admission retry-after",
                                    {{"a small backlog", ms(150), 0.8, ms(6000), ms(250)},
                                     {"a backlog as large as the share", ms(150), 0.5, ms(6000), ms(1000)},
                                     {"the expected finish is later", ms(700), 0.8, ms(6000), ms(700)},
                                     {"longer than callers wait", ms(150), 0.5, ms(2400), ms(150)},
                                     {"longer than the bound", ms(150), 0.1, ms(60000), ms(150)},
                                     {"nothing is admitted", ms(150), 0, ms(6000), ms(150)},
                                     {"the deadline has passed", ms(150), 0.5, ms(-5), ms(150)}},
                                    check_retry);

// Guards against decisions on counts of other VMs that are too old, or that are dropped too early.
void demand_is_estimated_and_then_unknown() {
    using enum demand_knowledge;
    CPPUNIT_ASSERT(assess_demand_knowledge(ms(500)) == known);
    CPPUNIT_ASSERT(assess_demand_knowledge(ms(1000)) == estimated);
    CPPUNIT_ASSERT(assess_demand_knowledge(ms(3000)) == unknown);
}

const test_table<scenario> scenarios(
    "admission",
    {{"any load is divided as users require", any_load_is_divided_as_users_require},
     {"a burst of one workspace uses its own fraction", a_burst_of_one_workspace_uses_its_own_fraction},
     {"first requests at many VMs are admitted in part", first_requests_at_many_vms_are_admitted_in_part},
     {"accumulators are bounded", accumulators_are_bounded},
     {"slots are kept for requests that cannot wait", slots_are_kept_for_requests_that_cannot_wait},
     {"a shortage has hysteresis", a_shortage_has_hysteresis},
     {"a service with free slots is not short", a_service_with_free_slots_is_not_short},
     {"the queue is ordered by priority and time", the_queue_is_ordered_by_priority_and_time},
     {"a full queue keeps the most urgent", a_full_queue_keeps_the_most_urgent},
     {"demand is estimated and then unknown", demand_is_estimated_and_then_unknown}},
    run_scenario);

} // namespace
} // namespace cassiaspan::test
