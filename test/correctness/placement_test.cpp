// Placement with affinity: single decisions, and the share of warm runs under load.

#include "placement.h"
#include "table_test.h"

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
};

void check_choice(const choice_row& row) {
    // The rows are built for the primary target of key 7, which primary_of_key_7() determines.
    const placement placed =
        place_request(row.candidates, {7, warm, cold, row.assume_primary_warm, true, row.max_latency});
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
        {"uses a free slot even if the run finishes late",
         {make_candidate(primary, 3)},
         false,
         milliseconds(10),
         0},
    };
}

const test_table<choice_row> choices("placement", make_choice_rows(), check_choice);

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

} // namespace
} // namespace cassiaspan::test
