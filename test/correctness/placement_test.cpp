// Placement by affinity: single choices, and how often keys find a warm target under load.

#include "placement.h"
#include "table_test.h"

#include <algorithm>
#include <deque>
#include <random>

namespace cassiaspan::test {
namespace {

constexpr milliseconds warm{100};
constexpr milliseconds cold{400};

placement_candidate target(std::uint64_t identity, double load, bool near = true) {
    placement_candidate candidate;
    candidate.identity = identity;
    candidate.load = load;
    candidate.slots = 4;
    candidate.region_rank = near ? 0 : 2;
    candidate.round_trip = near ? milliseconds(2) : milliseconds(60);
    return candidate;
}

struct choice_row {
    std::string name;
    std::vector<placement_candidate> candidates;
    bool explore;
    milliseconds patience;
    // Index of the expected choice; below 0: none.
    int expected;
};

void check_choice(const choice_row& row) {
    // The candidates stand around the primary target of key 7, which primary_of_seven() finds.
    const placement placed = place_request(row.candidates, {7, warm, cold, row.explore, true, row.patience});
    CPPUNIT_ASSERT_EQUAL(row.expected, placed.index ? static_cast<int>(*placed.index) : -1);
}

placement_candidate used(placement_candidate candidate) {
    candidate.recently_used = true;
    return candidate;
}

placement_candidate degraded(placement_candidate candidate) {
    candidate.degraded = true;
    return candidate;
}

placement_candidate joined(placement_candidate candidate) {
    candidate.recently_joined = true;
    return candidate;
}

int primary_of_seven() {
    const std::vector<placement_candidate> pair{target(11, 0), target(12, 0)};
    return static_cast<int>(*place_request(pair, {7, warm, cold, false, false, milliseconds(1000)}).index);
}

std::vector<choice_row> make_choice_rows() {
    const std::uint64_t primary = primary_of_seven() == 0 ? 11 : 12;
    const std::uint64_t other = 23 - primary;
    const milliseconds patient{1000};
    return {
        {"nothing to choose from", {}, false, patient, -1},
        {"the primary target while it has a slot", {target(primary, 3), target(other, 0)}, false, patient, 0},
        {"waits at the primary target rather than run cold elsewhere",
         {target(primary, 6), target(other, 0)},
         false,
         patient,
         0},
        {"runs cold elsewhere when the wait is longer",
         {target(primary, 60), target(other, 0)},
         false,
         patient,
         1},
        {"never cold on a target without room to spare",
         {target(primary, 12), target(other, 3)},
         false,
         patient,
         0},
        {"the known warm target before the primary target",
         {target(primary, 0), used(target(other, 0))},
         false,
         patient,
         1},
        {"explores the primary target", {target(primary, 0), used(target(other, 2))}, true, patient, 0},
        {"a primary target that has joined lately",
         {joined(target(primary, 0)), used(target(other, 2))},
         false,
         patient,
         0},
        {"a far warm target when the near one is full",
         {used(target(primary, 30)), used(target(other, 0, false))},
         false,
         patient,
         1},
        {"a near target before a far one", {target(primary, 0, false), target(other, 0)}, false, patient, 1},
        {"a doubtful target only without another",
         {degraded(target(primary, 0)), target(other, 0)},
         false,
         patient,
         1},
        {"the only one, though doubtful", {degraded(target(primary, 0))}, false, patient, 0},
        {"refuses when no target finishes in time", {target(primary, 40)}, false, milliseconds(300), -1},
        {"a free slot is used even when the run is late", {target(primary, 3)}, false, milliseconds(10), 0},
    };
}

const test_table<choice_row> choices("placement", make_choice_rows(), check_choice);

// Every VM sees somewhat other loads; a key whose primary target is full spills to the same target all the
// same.
void keys_spill_to_one_target() {
    std::mt19937_64 random(5);
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::vector<placement_candidate> idle;
        for (std::uint64_t identity = 11; identity < 17; ++identity) {
            idle.push_back(target(identity, 0));
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

const test_table<scenario> spills("placement spills",
                                  {{"keys spill to one target", keys_spill_to_one_target}}, run_scenario);

// A target that keeps the objects it handled last, as many as it has places.
struct caching_target {
    std::deque<std::uint64_t> kept;
    double load = 0;
    bool handle(std::uint64_t key, std::size_t places) {
        const auto found = std::find(this->kept.begin(), this->kept.end(), key);
        const bool hit = found != this->kept.end();
        if (hit) {
            this->kept.erase(found);
        }
        this->kept.push_front(key);
        if (this->kept.size() > places) {
            this->kept.pop_back();
        }
        return hit;
    }
};

struct load_row {
    std::string name;
    std::size_t targets;
    std::size_t keys;
    std::size_t kept_places;
    // Demand over the capacity of all slots when every run is warm.
    double demand;
    double min_warm_share;
};

// Runs requests at a fixed rate. A run holds a slot for 10 steps when warm and for 40 when cold.
void check_warm_share(const load_row& row) {
    constexpr double slots = 8;
    constexpr int warm_steps = 10;
    constexpr int cold_steps = 40;
    constexpr int steps = 6000;
    std::vector<caching_target> targets(row.targets);
    std::deque<std::pair<int, std::size_t>> running;
    std::mt19937_64 random(17);
    double owed = 0;
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
        owed += row.demand * slots * static_cast<double>(row.targets) / warm_steps;
        for (; owed >= 1; owed -= 1) {
            const std::uint64_t key = random() % row.keys;
            std::vector<placement_candidate> candidates;
            for (std::size_t i = 0; i < targets.size(); ++i) {
                placement_candidate candidate = target(100 + i, targets[i].load);
                candidate.slots = slots;
                const auto& kept = targets[i].kept;
                candidate.recently_used = std::find(kept.begin(), kept.end(), key) != kept.end();
                candidates.push_back(candidate);
            }
            const placement placed =
                place_request(candidates, {key, warm, cold, false, false, milliseconds(150)});
            if (!placed.index) {
                continue;
            }
            const bool hit = targets[*placed.index].handle(key, row.kept_places);
            targets[*placed.index].load += 1;
            running.emplace_back(step + (hit ? warm_steps : cold_steps), *placed.index);
            // The first half of the time warms the targets up.
            runs += step > steps / 2 ? 1 : 0;
            hits += step > steps / 2 && hit ? 1 : 0;
        }
    }
    CPPUNIT_ASSERT(runs > 0);
    CPPUNIT_ASSERT(static_cast<double>(hits) / runs >= row.min_warm_share);
}

// Targets keep about as many objects as one region has, and all regions' objects together are more than one
// target keeps. Spilling to any free slot makes most runs cold under such load.
const test_table<load_row> loads("placement under load",
                                 {{"half of the capacity", 6, 200, 60, 0.5, 0.97},
                                  {"nine tenths of the capacity", 6, 200, 60, 0.9, 0.95},
                                  {"twice the capacity", 6, 200, 60, 2.0, 0.95},
                                  {"more objects than all targets keep", 3, 240, 60, 0.5, 0.5}},
                                 check_warm_share);

} // namespace
} // namespace cassiaspan::test
