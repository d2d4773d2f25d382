// Placement with affinity: single decisions, and the share of warm runs under load.

#include "placement.h"
#include "recent_uses.h"
#include "table_test.h"
#include "target_health.h"

#include <algorithm>
#include <deque>
#include <random>

namespace cassiaspan::test {
namespace {

constexpr milliseconds warm{100};
constexpr milliseconds cold{400};

placement_candidate make_candidate(std::uint64_t identity, double load, bool in_key_region = true) {
    placement_candidate candidate;
    candidate.identity = identity;
    candidate.load = load;
    candidate.slots = 4;
    candidate.region_rank = in_key_region ? 0 : 2;
    candidate.round_trip = in_key_region ? milliseconds(2) : milliseconds(60);
    return candidate;
}

struct choice_row {
    std::string name;
    std::vector<placement_candidate> candidates;
    bool assume_primary_warm;
    milliseconds max_latency;
    // Index of the expected choice; -1 if none.
    int expected;
    bool shared_homes = false;
    bool refuse_late_cold_runs = false;
};

void check_choice(const choice_row& row) {
    // The rows are built for the primary target of key 7, which primary_of_key_7() determines.
    const placement placed =
        place_request(row.candidates, {7, warm, cold, row.assume_primary_warm, true, row.max_latency,
                                       row.shared_homes, false, 0, row.refuse_late_cold_runs});
    CPPUNIT_ASSERT_EQUAL(row.expected, placed.index ? static_cast<int>(*placed.index) : -1);
}

placement_candidate recently_used(placement_candidate candidate) {
    candidate.recently_used = true;
    return candidate;
}

placement_candidate degraded(placement_candidate candidate) {
    candidate.degraded = true;
    return candidate;
}

placement_candidate recently_joined(placement_candidate candidate) {
    candidate.recently_joined = true;
    return candidate;
}

placement_candidate with_usable_slots(placement_candidate candidate, double slots) {
    candidate.usable_slots = slots;
    return candidate;
}

int primary_of_key_7() {
    const std::vector<placement_candidate> both{make_candidate(11, 0), make_candidate(12, 0)};
    return static_cast<int>(*place_request(both, {7, warm, cold, false, false, milliseconds(1000)}).index);
}

std::vector<choice_row> make_choice_rows() {
    const std::uint64_t primary = primary_of_key_7() == 0 ? 11 : 12;
    const std::uint64_t other = 23 - primary;
    const milliseconds generous{1000};
    return {
        {"no candidates", {}, false, generous, -1},
        {"chooses the primary target while it has a free slot",
         {make_candidate(primary, 3), make_candidate(other, 0)},
         false,
         generous,
         0},
        {"queues at the primary target if the wait is shorter than a cold run",
         {make_candidate(primary, 6), make_candidate(other, 0)},
         false,
         generous,
         0},
        {"runs cold on another target if the wait is longer",
         {make_candidate(primary, 60), make_candidate(other, 0)},
         false,
         generous,
         1},
        // A low class must not use the slots, or the queue, that more urgent classes need.
        {"does not queue where a class may not",
         {with_usable_slots(make_candidate(primary, 4), 4)},
         false,
         generous,
         -1},
        {"uses the slots of its class",
         {with_usable_slots(make_candidate(primary, 2), 3)},
         false,
         generous,
         0},
        {"leaves the slots that are kept for others",
         {with_usable_slots(make_candidate(primary, 3), 3)},
         false,
         generous,
         -1},
        {"prefers a warm target with a usable slot",
         {with_usable_slots(make_candidate(primary, 4), 4),
          with_usable_slots(recently_used(make_candidate(other, 3, false)), 4)},
         false,
         generous,
         1},
        // A cold run that comes late takes the slot time of several warm runs in time.
        {"refuses a late cold run of a service that is short of slots",
         {make_candidate(primary, 0), recently_used(make_candidate(other, 30))},
         false,
         milliseconds(200),
         -1,
         false,
         true},
        {"runs a late cold run otherwise",
         {make_candidate(primary, 0), recently_used(make_candidate(other, 30))},
         false,
         milliseconds(200),
         0},
        {"runs cold late if a warm run would be late as well",
         {make_candidate(primary, 0), recently_used(make_candidate(other, 30))},
         false,
         milliseconds(50),
         0,
         false,
         true},
        {"never runs cold on a target without spare capacity",
         {make_candidate(primary, 12), make_candidate(other, 3)},
         false,
         generous,
         0},
        {"prefers a known warm target to the primary target",
         {make_candidate(primary, 0), recently_used(make_candidate(other, 0))},
         false,
         generous,
         1},
        {"assumes the primary target warm",
         {make_candidate(primary, 0), recently_used(make_candidate(other, 2))},
         true,
         generous,
         0},
        {"assumes a recently joined primary target warm",
         {recently_joined(make_candidate(primary, 0)), recently_used(make_candidate(other, 2))},
         false,
         generous,
         0},
        {"chooses a warm target in another region when the local one is full",
         {recently_used(make_candidate(primary, 30)), recently_used(make_candidate(other, 0, false))},
         false,
         generous,
         1},
        {"prefers a target in the key's region",
         {make_candidate(primary, 0, false), make_candidate(other, 0)},
         false,
         generous,
         1},
        {"prefers a target that is not degraded",
         {degraded(make_candidate(primary, 0)), make_candidate(other, 0)},
         false,
         generous,
         1},
        {"chooses a degraded target if it is the only one",
         {degraded(make_candidate(primary, 0))},
         false,
         generous,
         0},
        {"chooses none if no target finishes in time",
         {make_candidate(primary, 40)},
         false,
         milliseconds(300),
         -1},
        {"shared homes: uses the primary target while it has a free slot",
         {make_candidate(primary, 3), make_candidate(other, 3)},
         false,
         generous,
         0,
         true},
        {"shared homes: uses the secondary target when the primary one is full",
         {make_candidate(primary, 9), make_candidate(other, 3), make_candidate(98, 0, false)},
         false,
         generous,
         1,
         true},
        {"shared homes: has no secondary target in another region",
         {make_candidate(primary, 6), make_candidate(other, 0, false)},
         false,
         generous,
         0,
         true},
        {"shared homes: does not run cold while the service is short of slots",
         {recently_used(make_candidate(primary, 12)), make_candidate(other, 0)},
         false,
         generous,
         0,
         true},
        {"uses a free slot even if the run finishes late",
         {make_candidate(primary, 3)},
         false,
         milliseconds(10),
         0},
    };
}

const test_table<choice_row> choices("placement", make_choice_rows(), check_choice);

placement_candidate slowed(placement_candidate candidate) {
    candidate.slowdown = 2;
    candidate.service_time_ratio = 2;
    return candidate;
}

struct share_row {
    std::string name;
    std::vector<placement_candidate> candidates;
    std::optional<std::uint64_t> key;
    bool shared_homes;
    // Expected share of the requests of each candidate.
    std::vector<double> shares;
};

void check_shares(const share_row& row) {
    constexpr int requests = 4000;
    constexpr double tolerance = 0.04;
    std::mt19937_64 random(3);
    std::vector<double> shares(row.candidates.size());
    for (int i = 0; i < requests; ++i) {
        const placement placed =
            place_request(row.candidates, {row.key, warm, cold, false, false, milliseconds(1000),
                                           row.shared_homes, false, 0, false, random()});
        shares.at(*placed.index) += 1.0 / requests;
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(row.shares[i], shares[i], tolerance);
    }
}

std::vector<share_row> make_share_rows() {
    const std::uint64_t primary = primary_of_key_7() == 0 ? 11 : 12;
    const std::uint64_t other = 23 - primary;
    const auto idle = [](std::uint64_t identity) { return make_candidate(identity, 0); };
    return {
        {"equal targets without a key",
         {idle(1), idle(2), idle(3), idle(4)},
         {},
         false,
         {.25, .25, .25, .25}},
        {"the less loaded of two is preferred", {idle(1), make_candidate(2, 2)}, {}, false, {.75, .25}},
        {"load counts by slot time",
         {slowed(make_candidate(1, 1)), slowed(make_candidate(2, 2)), slowed(idle(3))},
         {},
         false,
         {.33, .11, .56}},
        {"a slowed target has no share", {slowed(idle(1)), idle(2), idle(3)}, {}, false, {0, .5, .5}},
        {"a degraded target has no share", {degraded(idle(1)), idle(2)}, {}, false, {0, 1}},
        {"a full target has no share", {make_candidate(1, 5), idle(2)}, {}, false, {0, 1}},
        {"a target in another region has no share",
         {make_candidate(1, 0, false), idle(2), idle(3)},
         {},
         false,
         {0, .5, .5}},
        {"a cold target has no share", {idle(primary), idle(other)}, 7, false, {1, 0}},
        {"a cold primary target has no share of a key that is warm elsewhere",
         {idle(primary), recently_used(idle(other))},
         7,
         false,
         {0, 1}},
        {"warm targets share a key",
         {recently_used(idle(primary)), recently_used(idle(other)), idle(98)},
         7,
         false,
         {.5, .5, 0}},
        {"both homes share a key, also if one is known to be warm",
         {recently_used(idle(primary)), idle(other), make_candidate(98, 0, false)},
         7,
         true,
         {.5, .5, 0}},
        {"a home that is slowed down has no share",
         {recently_used(slowed(idle(primary))), idle(other)},
         7,
         true,
         {0, 1}},
        {"a home that has just joined has no share of a key that is warm elsewhere",
         {recently_joined(idle(primary)), recently_used(idle(other))},
         7,
         true,
         {0, 1}},
    };
}

// Guards against all VMs sending to the one target that looks best to all of them, and against sharing with
// targets that are not as good.
const test_table<share_row> shares("placement with reported speeds", make_share_rows(), check_shares);

// VMs see slightly different loads. A key whose primary target is full must still spill to the same target on
// all VMs.
void all_vms_spill_a_key_to_the_same_target() {
    std::mt19937_64 random(5);
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::vector<placement_candidate> idle;
        for (std::uint64_t identity = 11; identity < 17; ++identity) {
            idle.push_back(make_candidate(identity, 0));
        }
        const auto primary = *place_request(idle, {key, warm, cold, false, false, milliseconds(1000)}).index;
        std::optional<std::size_t> spill;
        for (int vm = 0; vm < 8; ++vm) {
            std::vector<placement_candidate> seen = idle;
            for (placement_candidate& candidate : seen) {
                candidate.load = static_cast<double>(random() % 3);
            }
            seen[primary].load = 60;
            const placement placed = place_request(seen, {key, warm, cold, false, false, milliseconds(2000)});
            CPPUNIT_ASSERT(placed.index && *placed.index != primary);
            CPPUNIT_ASSERT(!spill || *spill == *placed.index);
            spill = placed.index;
        }
    }
}

const test_table<scenario>
    spills("placement spills",
           {{"all VMs spill a key to the same target", all_vms_spill_a_key_to_the_same_target}},
           run_scenario);

struct zone_row {
    std::string name;
    bool shared_homes;
    // The choosing VM is in the zone of the key's secondary target, not of its primary one.
    bool is_in_secondary_zone;
    // Loads of the two targets, which have 4 slots.
    double primary_load;
    double secondary_load;
    // The targets of all zones but the primary target's are degraded.
    bool others_degraded;
    bool expects_primary;
};

// Guards against homes of a key that are all in one availability zone: the requests of the VMs in other zones
// would all cross zones, and the key would be cold when the zone ends.
void check_zone(const zone_row& row) {
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::vector<placement_candidate> candidates;
        for (std::uint64_t identity = 11; identity < 20; ++identity) {
            candidates.push_back(make_candidate(identity, 0));
            candidates.back().zone = identity % 3;
        }
        const auto choose = [&](bool shared_homes, std::uint64_t zone) {
            return *place_request(candidates, {key, warm, cold, false, false, milliseconds(1000),
                                               shared_homes, false, zone})
                        .index;
        };
        const std::size_t primary = choose(false, 0);
        const std::uint64_t primary_zone = candidates[primary].zone;
        for (placement_candidate& candidate : candidates) {
            candidate.degraded = row.others_degraded && candidate.zone != primary_zone;
        }
        candidates[primary].load = 9;
        const std::size_t secondary = choose(true, primary_zone);
        CPPUNIT_ASSERT(secondary != primary);
        CPPUNIT_ASSERT_EQUAL(row.others_degraded, candidates[secondary].zone == primary_zone);
        candidates[primary].load = row.primary_load;
        candidates[secondary].load = row.secondary_load;
        const std::uint64_t zone = row.is_in_secondary_zone ? candidates[secondary].zone : primary_zone;
        CPPUNIT_ASSERT_EQUAL(row.expects_primary ? primary : secondary, choose(row.shared_homes, zone));
    }
}

const test_table<zone_row>
    zones("placement zones",
          {{"without shared homes, the zone does not matter", false, true, 3, 0, false, true},
           {"the primary target is in the VM's zone", true, false, 3, 0, false, true},
           {"the secondary target is in the VM's zone", true, true, 0, 3, false, false},
           {"the primary target of the VM's zone is full", true, false, 9, 3, false, false},
           {"the secondary target of the VM's zone is full", true, true, 3, 9, false, true},
           {"the other zones' targets are degraded", true, false, 9, 3, true, false}},
          check_zone);

// A target with an LRU cache of `capacity` objects.
struct lru_target {
    std::deque<std::uint64_t> cached;
    double load = 0;
    bool handle(std::uint64_t key, std::size_t capacity) {
        const auto found = std::find(this->cached.begin(), this->cached.end(), key);
        const bool hit = found != this->cached.end();
        if (hit) {
            this->cached.erase(found);
        }
        this->cached.push_front(key);
        if (this->cached.size() > capacity) {
            this->cached.pop_back();
        }
        return hit;
    }
};

// In a region with few targets, two copies of each key would push others out of the targets' memory: with one
// home, every VM must send a key to its primary target, wherever the VM is.
void a_key_has_one_home_where_targets_are_few() {
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::vector<placement_candidate> candidates;
        for (std::uint64_t identity = 11; identity < 15; ++identity) {
            candidates.push_back(make_candidate(identity, 0));
            candidates.back().zone = identity % 2;
        }
        const auto choose = [&](bool shared_homes, bool single_home, std::uint64_t zone) {
            return *place_request(candidates, {key, warm, cold, false, false, milliseconds(1000),
                                               shared_homes, single_home, zone})
                        .index;
        };
        const std::size_t primary = choose(false, false, 0);
        CPPUNIT_ASSERT_EQUAL(primary, choose(true, true, 0));
        CPPUNIT_ASSERT_EQUAL(primary, choose(true, true, 1));
    }
}

const test_table<scenario>
    homes("placement homes",
          {{"a key has one home where targets are few", a_key_has_one_home_where_targets_are_few}},
          run_scenario);

struct load_row {
    std::string name;
    std::size_t targets;
    std::size_t keys;
    std::size_t cache_capacity;
    // Demand relative to the capacity of all slots if every run is warm.
    double demand;
    double min_warm_share;
};

// Runs requests at a fixed rate. A run holds a slot for 10 steps when warm and for 40 when cold.
void check_warm_share(const load_row& row) {
    constexpr double slots = 8;
    constexpr int warm_steps = 10;
    constexpr int cold_steps = 40;
    constexpr int steps = 6000;
    std::vector<lru_target> targets(row.targets);
    std::deque<std::pair<int, std::size_t>> running;
    std::mt19937_64 random(17);
    double pending_arrivals = 0;
    int hits = 0;
    int runs = 0;
    for (int step = 0; step < steps; ++step) {
        std::erase_if(running, [&](const auto& run) {
            if (run.first <= step) {
                targets[run.second].load -= 1;
                return true;
            }
            return false;
        });
        pending_arrivals += row.demand * slots * static_cast<double>(row.targets) / warm_steps;
        for (; pending_arrivals >= 1; pending_arrivals -= 1) {
            const std::uint64_t key = random() % row.keys;
            std::vector<placement_candidate> candidates;
            for (std::size_t i = 0; i < targets.size(); ++i) {
                placement_candidate candidate = make_candidate(100 + i, targets[i].load);
                candidate.slots = slots;
                const auto& cached = targets[i].cached;
                candidate.recently_used = std::find(cached.begin(), cached.end(), key) != cached.end();
                candidates.push_back(candidate);
            }
            const placement placed =
                place_request(candidates, {key, warm, cold, false, false, milliseconds(150)});
            if (!placed.index) {
                continue;
            }
            const bool hit = targets[*placed.index].handle(key, row.cache_capacity);
            targets[*placed.index].load += 1;
            running.emplace_back(step + (hit ? warm_steps : cold_steps), *placed.index);
            // The first half of the run is a warm-up and is not counted.
            runs += step > steps / 2 ? 1 : 0;
            hits += step > steps / 2 && hit ? 1 : 0;
        }
    }
    CPPUNIT_ASSERT(runs > 0);
    CPPUNIT_ASSERT(static_cast<double>(hits) / runs >= row.min_warm_share);
}

// A target caches about as many objects as one region has, but fewer than all regions have together. Spilling
// to any free slot would make most runs cold under such load.
const test_table<load_row> loads("placement under load",
                                 {{"load at 0.5 of capacity", 6, 200, 60, 0.5, 0.97},
                                  {"load at 0.9 of capacity", 6, 200, 60, 0.9, 0.95},
                                  {"load at 2.0 of capacity", 6, 200, 60, 2.0, 0.95},
                                  {"more objects than all targets cache", 3, 240, 60, 0.5, 0.5}},
                                 check_warm_share);

// A request of the cold start simulation. Times are steps of 10 ms.
struct simulated_run {
    std::uint64_t key = 0;
    std::size_t vm = 0;
    bool known_warm = false;
    double load_at_send = 0;
    int arrived = 0;
    int ends = 0;
};

// A target with slots, a queue and an LRU cache.
struct queueing_target {
    std::vector<simulated_run> running;
    std::deque<simulated_run> queue;
    lru_target cache;

    [[nodiscard]] double load() const {
        return static_cast<double>(this->running.size() + this->queue.size());
    }
};

// What one VM knows of the targets: their reported loads plus the requests that it has sent since, and its
// own measurements.
struct simulated_vm {
    explicit simulated_vm(std::size_t targets) : sent(targets), health(targets) {}
    std::vector<double> sent;
    std::vector<target_health> health;
    recent_uses uses;
    milliseconds warm_time = default_service_time;
    milliseconds cold_time = 3 * default_service_time;
};

struct cold_start_row {
    std::string name;
    std::size_t vms;
    std::size_t targets;
    std::size_t keys;
    std::size_t cache_capacity;
    // Demand relative to the capacity of all slots if every run is warm.
    double demand;
    // Fraction of the requests of the last third that must meet their latency objective.
    double min_in_objective;
    bool shared_homes;
    // Availability zones that VMs and targets alternate over.
    std::size_t zones = 1;
    // Targets that are nearly as good share the requests, as they do when targets report their speed.
    bool shares_requests = false;
};

constexpr milliseconds step_time{10};

// Updates the VM's statistics at the end of a run, as the request path does.
void record_run(simulated_vm& vm, std::size_t target, const simulated_run& run, double slots, instant now) {
    const milliseconds latency = (run.ends - run.arrived) * step_time;
    const milliseconds own_time = estimate_service_time(latency, run.load_at_send, slots);
    milliseconds& average = run.known_warm ? vm.warm_time : vm.cold_time;
    average = moving_average(average, own_time);
    const milliseconds usual_time = run.known_warm ? vm.warm_time : std::max(vm.warm_time, vm.cold_time);
    record_outcome(vm.health[target], target_outcome::answered, {own_time, usual_time}, now);
}

// Load pattern: all targets are cold and a sixth of them slow for some seconds, and a burst follows; the
// demand then exceeds what cold targets can serve, but is well below what warm ones can. Each of many VMs
// sees few requests of any key, and the targets' loads with a delay. Afterwards the service must reach the
// state in which most runs are warm, instead of staying busy with cold ones.
void check_cold_start(const cold_start_row& row) {
    constexpr std::size_t slots = 9;
    constexpr std::size_t queue_limit = 27;
    constexpr int warm_steps = 30;
    constexpr int cold_steps = 104;
    constexpr int slow_factor = 3;
    constexpr int slow_until = 700;
    constexpr int burst_begin = 370;
    constexpr int burst_end = 710;
    constexpr double burst_factor = 1.5;
    constexpr int objective_steps = 80;
    constexpr int steps = 3000;
    constexpr int counted_from = steps * 2 / 3;
    constexpr int counted_until = steps - objective_steps;
    constexpr int report_interval = 40;
    std::vector<queueing_target> targets(row.targets);
    std::vector<double> reported_loads(row.targets);
    std::vector<simulated_vm> vms(row.vms, simulated_vm(row.targets));
    std::mt19937_64 random(29);
    double pending_arrivals = 0;
    int arrivals = 0;
    int in_objective = 0;
    for (int step = 0; step < steps; ++step) {
        const instant now{seconds(1000) + step * step_time};
        for (std::size_t i = 0; i < row.targets; ++i) {
            queueing_target& target = targets[i];
            std::erase_if(target.running, [&](const simulated_run& run) {
                if (run.ends > step) {
                    return false;
                }
                target.cache.handle(run.key, row.cache_capacity);
                const bool is_counted = run.arrived > counted_from && run.arrived < counted_until;
                in_objective += is_counted && run.ends - run.arrived <= objective_steps ? 1 : 0;
                record_run(vms[run.vm], i, run, slots, now);
                return true;
            });
            while (!target.queue.empty() && target.running.size() < slots) {
                simulated_run run = target.queue.front();
                target.queue.pop_front();
                const auto& cached = target.cache.cached;
                const bool hit = std::find(cached.begin(), cached.end(), run.key) != cached.end();
                const bool is_slow = i % 6 == 0 && step < slow_until;
                run.ends = step + (hit ? warm_steps : cold_steps) * (is_slow ? slow_factor : 1);
                target.running.push_back(run);
            }
        }
        if (step % report_interval == 0) {
            for (std::size_t i = 0; i < row.targets; ++i) {
                reported_loads[i] = targets[i].load();
            }
            for (simulated_vm& vm : vms) {
                std::fill(vm.sent.begin(), vm.sent.end(), 0);
            }
        }
        const bool is_burst = step >= burst_begin && step < burst_end;
        pending_arrivals += row.demand * (is_burst ? burst_factor : 1) *
                            static_cast<double>(slots * row.targets) / warm_steps;
        for (; pending_arrivals >= 1; pending_arrivals -= 1) {
            arrivals += step > counted_from && step < counted_until ? 1 : 0;
            const std::uint64_t key = random() % row.keys;
            const std::size_t vm_index = random() % row.vms;
            simulated_vm& vm = vms[vm_index];
            std::vector<placement_candidate> candidates;
            for (std::size_t i = 0; i < row.targets; ++i) {
                placement_candidate candidate = make_candidate(100 + i, reported_loads[i] + vm.sent[i]);
                candidate.slots = slots;
                candidate.recently_used = was_used(vm.uses, 100 + i, key, milliseconds(10'000), now);
                const double ratio = vm.health[i].service_time_ratio;
                candidate.service_time_ratio = ratio == 0 ? 1 : std::clamp(ratio, 0.5, 8.0);
                candidate.degraded = is_degraded(vm.health[i]);
                candidate.zone = i % row.zones;
                candidates.push_back(candidate);
            }
            const bool explore = random() % 16 == 0;
            const auto draw = row.shares_requests ? std::optional<std::uint64_t>(random()) : std::nullopt;
            const placement placed =
                place_request(candidates, {key, vm.warm_time, std::max(vm.warm_time, vm.cold_time), explore,
                                           false, objective_steps * step_time, row.shared_homes, false,
                                           vm_index % row.zones, false, draw});
            if (!placed.index || targets[*placed.index].queue.size() >= queue_limit) {
                continue;
            }
            vm.sent[*placed.index] += 1;
            record_use(vm.uses, 100 + *placed.index, key, now);
            targets[*placed.index].queue.push_back({key, vm_index,
                                                    placed.reason == placement_reason::known_warm,
                                                    candidates[*placed.index].load, step, 0});
        }
    }
    const double share = static_cast<double>(in_objective) / arrivals;
    CPPUNIT_ASSERT_MESSAGE("share " + std::to_string(share), share >= row.min_in_objective);
}

const test_table<cold_start_row>
    cold_starts("placement after a cold start",
                {{"8 VMs, 14 targets", 8, 14, 150, 40, 0.5, 0.9, false},
                 {"60 VMs, 34 targets", 60, 34, 150, 59, 0.65, 0.9, true},
                 {"60 VMs, 68 targets", 60, 68, 346, 31, 0.65, 0.9, true},
                 {"195 VMs, 90 targets", 195, 90, 600, 40, 0.65, 0.9, true},
                 {"8 VMs, requests shared", 8, 14, 150, 40, 0.5, 0.9, false, 1, true},
                 {"60 VMs, requests shared", 60, 68, 346, 31, 0.65, 0.9, true, 1, true},
                 {"195 VMs, requests shared", 195, 90, 600, 40, 0.65, 0.9, true, 1, true},
                 {"60 VMs, 68 targets, 2 zones", 60, 68, 346, 31, 0.65, 0.9, true, 2}},
                check_cold_start);

} // namespace
} // namespace cassiaspan::test
