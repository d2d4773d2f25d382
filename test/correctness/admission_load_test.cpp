// Admission by class under load: a simulated service whose VMs know the loads of the targets 100 ms late.

#include "admission.h"
#include "placement.h"
#include "stable_hash.h"
#include "table_test.h"

#include <algorithm>
#include <map>
#include <random>

namespace cassiaspan::test {
namespace {

constexpr std::size_t target_count = 40;
constexpr std::size_t target_slots = 3;
constexpr double simulated_seconds = 40;
// Nothing is counted before the targets have filled.
constexpr double warmup_seconds = 8;
constexpr double report_delay = 0.1;
constexpr double wait_interval = 0.02;

// The requests of one class: rate per second, times in seconds.
struct offered_class {
    double rate = 0;
    double work = 0;
    double objective = 0;
};

// How the requests of one class ended.
struct class_result {
    double asked = 0;
    double served = 0;
    double in_time = 0;
};

// A target that runs requests in the order of arrival.
struct simulated_target {
    // When each slot becomes free.
    std::vector<double> free_at = std::vector<double>(target_slots, 0);
    // Ends of the requests there, with their arrivals.
    std::multimap<double, double> requests;

    // Returns the requests there at `seen_at`, as a VM knows them that also knows which of them have ended.
    double load_seen(double now, double seen_at) const {
        return static_cast<double>(
            std::count_if(this->requests.upper_bound(now), this->requests.end(),
                          [seen_at](const auto& each) { return each.second <= seen_at; }));
    }

    // Returns when a request that arrives now ends.
    double run(double now, double work) {
        this->requests.erase(this->requests.begin(), this->requests.upper_bound(now - report_delay));
        double& slot = *std::min_element(this->free_at.begin(), this->free_at.end());
        slot = std::max(slot, now) + work;
        this->requests.emplace(slot, now);
        return slot;
    }
};

milliseconds to_ms(double time) {
    return milliseconds(static_cast<std::int64_t>(time * 1000));
}

// Simulates the service with or without admission by class.
class simulation {
public:
    simulation(std::vector<offered_class> offered_in, bool with_classes_in)
        : offered(std::move(offered_in)), with_classes(with_classes_in), results(this->offered.size()) {
        std::vector<class_demand> demands;
        demands.reserve(this->offered.size());
        double rate = 0;
        for (const offered_class& each : this->offered) {
            demands.push_back({each.rate, each.work});
            this->mean_work += each.rate * each.work;
            rate += each.rate;
        }
        this->mean_work /= rate;
        constexpr double divided_slots = 0.9 * target_count * target_slots;
        this->is_short = this->mean_work * rate > divided_slots;
        this->shares = divide_slots(demands, divided_slots);
    }

    std::vector<class_result> run() {
        for (std::size_t index = 0; index < this->offered.size(); ++index) {
            this->schedule_next(index, 0);
        }
        while (!this->events.empty()) {
            const auto first = this->events.begin();
            const double now = first->first;
            const event next = first->second;
            this->events.erase(first);
            this->handle(now, next);
        }
        return this->results;
    }

private:
    struct event {
        std::size_t class_index = 0;
        std::uint64_t key = 0;
        double arrived_at = 0;
        bool is_waiting = false;
    };

    void schedule_next(std::size_t index, double now) {
        const double at =
            now + std::exponential_distribution<double>(this->offered[index].rate)(this->random);
        if (at < simulated_seconds) {
            this->events.emplace(at, event{index, this->random() % 400, at, false});
        }
    }

    void handle(double now, event request) {
        const offered_class& offer = this->offered[request.class_index];
        class_result& result = this->results[request.class_index];
        const bool is_counted = request.arrived_at >= warmup_seconds;
        if (!request.is_waiting) {
            this->schedule_next(request.class_index, now);
            result.asked += is_counted ? 1 : 0;
            const class_priority priority{static_cast<int>(request.class_index), 0};
            if (this->with_classes &&
                !take_share(this->accumulators, priority, 1, this->shares[request.class_index].fraction, 1)) {
                return;
            }
        }
        const auto chosen = this->choose(now, request);
        if (chosen) {
            const double end = this->targets[*chosen].run(now, offer.work);
            result.served += is_counted ? 1 : 0;
            result.in_time += is_counted && end - request.arrived_at <= offer.objective ? 1 : 0;
        } else if (this->with_classes && now - request.arrived_at + wait_interval <= offer.objective / 8) {
            request.is_waiting = true;
            this->events.emplace(now + wait_interval, request);
        }
    }

    std::optional<std::size_t> choose(double now, const event& request) {
        const offered_class& offer = this->offered[request.class_index];
        double kept = 0;
        for (std::size_t i = 0; i < request.class_index; ++i) {
            const offered_class& other = this->offered[i];
            kept += needs_kept_slots(other.objective, other.work, offer.work, target_slots)
                        ? this->shares[i].slots / (0.9 * target_count)
                        : 0;
        }
        std::vector<placement_candidate> candidates(target_count);
        for (std::size_t i = 0; i < target_count; ++i) {
            candidates[i].identity = mix_hash(i);
            candidates[i].slots = target_slots;
            candidates[i].load = this->targets[i].load_seen(now, now - report_delay);
            if (this->with_classes && this->is_short && request.class_index > 0) {
                candidates[i].usable_slots = slots_for_class(target_slots, kept, candidates[i].identity);
            }
        }
        placement_request wanted;
        wanted.key = request.key;
        wanted.warm_service_time = wanted.cold_service_time =
            to_ms(this->with_classes ? offer.work : this->mean_work);
        wanted.max_latency = to_ms(std::max(0.0, request.arrived_at + offer.objective - now));
        return place_request(candidates, wanted).index;
    }

    std::vector<offered_class> offered;
    bool with_classes;
    bool is_short = false;
    double mean_work = 0;
    std::vector<class_share> shares;
    admission_accumulators accumulators;
    std::vector<class_result> results;
    std::vector<simulated_target> targets = std::vector<simulated_target>(target_count);
    std::multimap<double, event> events;
    std::mt19937_64 random{8};
};

struct load_row {
    std::string name;
    std::vector<offered_class> offered;
    // Least part of the most urgent class's requests that are answered in time.
    double min_urgent_in_time;
};

// Guards against a load under which admission by class serves the urgent class badly, a less urgent class
// more often or almost never, or is worth less than no admission. A late response is worth a fifth.
void check_load(const load_row& row) {
    const auto worth_of = [](const std::vector<class_result>& results) {
        double worth = 0;
        for (const class_result& each : results) {
            worth += each.in_time + (each.served - each.in_time) / 5;
        }
        return worth;
    };
    const std::vector<class_result> before = simulation(row.offered, false).run();
    const std::vector<class_result> after = simulation(row.offered, true).run();
    std::string text = row.name;
    for (const auto* results : {&before, &after}) {
        for (const class_result& each : *results) {
            text += " " + std::to_string(each.served / each.asked) + "/" +
                    std::to_string(each.in_time / each.asked);
        }
        text += " worth " + std::to_string(worth_of(*results)) + ";";
    }
    const double urgent_served = after.front().served / after.front().asked;
    double served = 0;
    double asked = 0;
    for (const class_result& each : after) {
        served += each.served;
        asked += each.asked;
    }
    const double all_served = served / asked;
    const double low_served = after.back().served / after.back().asked;
    CPPUNIT_ASSERT_MESSAGE(text, after.front().in_time / after.front().asked >= row.min_urgent_in_time);
    CPPUNIT_ASSERT_MESSAGE(text, urgent_served >= low_served);
    CPPUNIT_ASSERT_MESSAGE(text, low_served >= all_served / 4);
    CPPUNIT_ASSERT_MESSAGE(text, worth_of(after) >= worth_of(before));
}

const test_table<load_row>
    loads("admission under load",
          {{"a low class with long work takes all slots", {{100, 0.1, 0.2}, {150, 1.2, 1.5}}, 0.9},
           {"a low class with long work fills the slots", {{80, 0.1, 0.2}, {95, 1.2, 1.5}}, 0.85},
           {"two classes with equal demand at twice the capacity", {{400, 0.3, 0.6}, {400, 0.3, 0.6}}, 0.7},
           {"three classes that can wait", {{96, 0.4, 0.8}, {96, 0.4, 0.8}, {64, 0.6, 1.2}}, 0.9},
           {"an urgent class with most of the requests", {{800, 0.1, 0.3}, {160, 0.6, 1.2}}, 0.9},
           {"enough slots", {{80, 0.1, 0.2}, {40, 1.2, 1.5}}, 0.9}},
          check_load);

} // namespace
} // namespace cassiaspan::test
