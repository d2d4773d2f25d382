#include "admission.h"

#include "retry_after.h"
#include "stable_hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cassiaspan {

namespace {

constexpr int max_priority = 65535;
constexpr unsigned priority_bits = 16;

// The part of its proportional share that a less urgent class always keeps.
constexpr double kept_part = 0.25;
// The part of the fraction of all requests that a less urgent class always has. Users require that a quarter
// as many are served; of those that are admitted, about one in five finds no room (admission_load_test).
constexpr double least_relative_fraction = 0.3;
// Halvings of the interval in which the kept fraction is sought; the error is then below 0.0001.
constexpr int search_steps = 12;

// Time constant of the pressure average: several reports of other VMs.
constexpr std::chrono::duration<double> pressure_averaging_time{0.5};
constexpr double shortage_begins = 1.0;
// The demand average of a steady load varies by a few percent, which must not toggle the shortage.
constexpr double shortage_ends = 0.9;

// The slots of a target that are kept free for more urgent classes. The requests that already run there are
// counted in its load, so one free slot is enough for the next urgent one.
constexpr double max_kept_slots = 1;
// Kept slots over the expected occupancy. Urgent requests come at random, and affinity keys send them to
// certain targets: in admission_load_test, 82 in 100 were in time with a factor of 1, 93 with 3, and more
// than 3 cost the less urgent ones more than it gave.
constexpr double kept_slots_factor = 3;

// Fraction of the time to the objective that a request may wait. Users count no cost up to this.
constexpr int wait_divisor = 8;
// Fraction of the remaining time that callers wait at most for a Retry-After.
constexpr int retry_wait_divisor = 3;
// The time within which refused callers return, and so over which refusals form a backlog: the middle of
// the bounds of Retry-After.
constexpr double backlog_ms = 1000;

// VMs of a region report every 100 to 200 ms; this is the time of three reports.
constexpr milliseconds estimate_after{600};
constexpr milliseconds unknown_after{3000};

// 2^64, the number of hash values.
constexpr double hash_range = 18446744073709551616.0;

double to_unit_interval(std::uint64_t hash) {
    return static_cast<double>(hash) / hash_range;
}

double slots_of(const class_demand& demand) {
    return demand.rate * demand.slot_time;
}

double total_slots(const std::vector<class_demand>& classes) {
    double total = 0;
    for (const class_demand& each : classes) {
        total += slots_of(each);
    }
    return total;
}

// Divides the slots by urgency, where each class but the first keeps `kept_fraction` of its demand.
std::vector<class_share> divide_by_urgency(const std::vector<class_demand>& classes, double usable_slots,
                                           double kept_fraction) {
    std::vector<class_share> shares;
    double kept_for_later = kept_fraction * total_slots(classes);
    double free_slots = usable_slots;
    for (const class_demand& each : classes) {
        const double wanted = slots_of(each);
        kept_for_later -= kept_fraction * wanted;
        const double slots =
            std::clamp(free_slots - std::max(0.0, kept_for_later), kept_fraction * wanted, wanted);
        free_slots -= slots;
        const double unasked_fraction = shares.empty() ? 1 : shares.back().fraction;
        shares.push_back({slots, wanted > 0 ? std::min(1.0, slots / wanted) : unasked_fraction});
    }
    return shares;
}

// Returns the fraction of all requests that is admitted.
double overall_fraction(const std::vector<class_demand>& classes, const std::vector<class_share>& shares) {
    double asked = 0;
    double admitted = 0;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        asked += classes[i].rate;
        admitted += classes[i].rate * shares[i].fraction;
    }
    return asked > 0 ? admitted / asked : 1;
}

// Calls `visit` with each route to the service, and the priority of each kind of its requests.
template <class Visit>
void visit_classes(const steering_rules& rules, const std::string& service, const Visit& visit) {
    for (const route_rule& route : rules.routes) {
        const bool is_used =
            std::any_of(route.split.begin(), route.split.end(), [&service](const weighted_service& each) {
                return each.service == service && each.weight > 0;
            });
        if (!is_used) {
            continue;
        }
        if (route.is_public || rules.workspaces.empty()) {
            visit(route, make_class_priority(route, nullptr));
            continue;
        }
        for (const workspace_rule& workspace : rules.workspaces) {
            visit(route, make_class_priority(route, &workspace));
        }
    }
}

std::uint64_t accumulator_key(const class_priority& priority, std::uint32_t workspace_hash) {
    return std::uint64_t{pack_priority(priority)} << 32U | workspace_hash;
}

} // namespace

class_priority make_class_priority(const route_rule& route, const workspace_rule* workspace) {
    const int first = workspace != nullptr && workspace->priority ? *workspace->priority : route.priority;
    return {std::clamp(first, 0, max_priority), std::clamp(route.priority, 0, max_priority)};
}

std::uint32_t pack_priority(const class_priority& priority) {
    return static_cast<std::uint32_t>(priority.first) << priority_bits |
           static_cast<std::uint32_t>(priority.second);
}

class_priority unpack_priority(std::uint32_t packed) {
    return {static_cast<int>(packed >> priority_bits), static_cast<int>(packed & max_priority)};
}

std::vector<class_priority> find_classes(const steering_rules& rules, const std::string& service) {
    std::set<class_priority> found;
    std::set<int> route_priorities;
    visit_classes(rules, service, [&](const route_rule& route, const class_priority& each) {
        found.insert(each);
        route_priorities.insert(route.priority);
    });
    if (route_priorities.size() < 2) {
        return {};
    }
    std::vector<class_priority> classes(found.begin(), found.end());
    classes.resize(std::min(classes.size(), max_classes_per_service));
    return classes;
}

std::vector<milliseconds> find_objectives(const steering_rules& rules, const std::string& service,
                                          const std::vector<class_priority>& classes) {
    std::vector<milliseconds> objectives(classes.size(), milliseconds::max());
    if (classes.empty()) {
        return objectives;
    }
    visit_classes(rules, service, [&](const route_rule& route, const class_priority& each) {
        milliseconds& objective = objectives[find_class(classes, each)];
        objective = std::min(objective, route.latency_objective);
    });
    return objectives;
}

std::size_t find_class(const std::vector<class_priority>& classes, const class_priority& priority) {
    const auto found = std::lower_bound(classes.begin(), classes.end(), priority);
    return std::min(static_cast<std::size_t>(found - classes.begin()), classes.size() - 1);
}

std::vector<class_share> divide_slots(const std::vector<class_demand>& classes, double usable_slots) {
    const double wanted = total_slots(classes);
    std::vector<class_share> shares;
    if (wanted <= usable_slots) {
        for (const class_demand& each : classes) {
            shares.push_back({slots_of(each), 1});
        }
        return shares;
    }
    const double proportional = std::max(0.0, usable_slots) / wanted;
    double too_low = kept_part * proportional;
    shares = divide_by_urgency(classes, usable_slots, too_low);
    if (overall_fraction(classes, shares) * least_relative_fraction <= too_low) {
        return shares;
    }
    double enough = std::min(least_relative_fraction, proportional);
    for (int i = 0; i < search_steps; ++i) {
        const double middle = (too_low + enough) / 2;
        shares = divide_by_urgency(classes, usable_slots, middle);
        (overall_fraction(classes, shares) * least_relative_fraction > middle ? too_low : enough) = middle;
    }
    return divide_by_urgency(classes, usable_slots, enough);
}

void update_shortage(slot_shortage& shortage, const std::vector<class_demand>& classes, double occupied_slots,
                     double usable_slots, nanoseconds elapsed) {
    const double wanted = std::min(total_slots(classes), occupied_slots);
    // A service without usable slots has nothing to divide.
    const double pressure = usable_slots > 0 ? wanted / usable_slots : 0;
    const double kept =
        std::exp(-std::chrono::duration<double>(elapsed).count() / pressure_averaging_time.count());
    shortage.pressure = shortage.pressure * kept + pressure * (1 - kept);
    shortage.is_short = shortage.pressure >= (shortage.is_short ? shortage_ends : shortage_begins);
}

bool take_share(admission_accumulators& accumulators, const class_priority& priority,
                std::uint32_t workspace_hash, double fraction, std::uint64_t seed) {
    if (fraction >= 1) {
        return true;
    }
    std::uint64_t key = accumulator_key(priority, workspace_hash);
    if (accumulators.credits.size() >= max_accumulators && accumulators.credits.count(key) == 0) {
        key = accumulator_key(priority, 0);
    }
    const auto [found, is_new] =
        accumulators.credits.try_emplace(key, to_unit_interval(mix_hash(key ^ mix_hash(seed))));
    double& credit = found->second;
    credit += fraction;
    if (credit < 1) {
        return false;
    }
    credit -= 1;
    return true;
}

bool needs_kept_slots(double objective, double slot_time, double less_urgent_slot_time, double target_slots) {
    return less_urgent_slot_time / std::max(1.0, target_slots) > objective - slot_time;
}

double slots_for_class(double target_slots, double expected_occupancy, std::uint64_t target_identity) {
    constexpr std::uint64_t kept_slot_seed = 3;
    // At a target of one slot, a kept slot leaves none.
    const double factor = target_slots < 2 ? 1 : kept_slots_factor;
    const double kept = std::clamp(expected_occupancy * factor, 0.0, max_kept_slots);
    const double phase = to_unit_interval(mix_hash(target_identity ^ mix_hash(kept_slot_seed)));
    return std::max(0.0, target_slots - std::floor(kept + phase));
}

std::uint64_t enter_queue(waiting_queue& queue, const class_priority& priority, instant latest_start) {
    const std::uint64_t ticket = queue.next_ticket++;
    queue.places.insert({priority, latest_start, ticket});
    if (queue.places.size() <= max_waiting) {
        return ticket;
    }
    const auto last = std::prev(queue.places.end());
    const bool is_new_one = last->ticket == ticket;
    queue.places.erase(last);
    return is_new_one ? 0 : ticket;
}

void leave_queue(waiting_queue& queue, std::uint64_t ticket) {
    std::erase_if(queue.places, [ticket](const waiting_place& each) { return each.ticket == ticket; });
}

std::optional<std::size_t> position_in_queue(const waiting_queue& queue, std::uint64_t ticket) {
    const auto found = std::find_if(queue.places.begin(), queue.places.end(),
                                    [ticket](const waiting_place& each) { return each.ticket == ticket; });
    if (found == queue.places.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(queue.places.begin(), found));
}

std::optional<instant> end_of_wait(instant now, instant objective_deadline, instant deadline,
                                   milliseconds work) {
    if (now + work >= objective_deadline) {
        return std::nullopt;
    }
    return std::min(now + (objective_deadline - now) / wait_divisor, deadline - work);
}

milliseconds class_retry_after(milliseconds expected, double fraction, milliseconds time_left,
                               double jitter) {
    const milliseconds shortest = choose_retry_after(min_retry_after, jitter);
    const auto longest =
        static_cast<double>(std::min(max_retry_after, time_left / retry_wait_divisor).count());
    // A class of which nothing is admitted has no time at which it is.
    const double backlog = fraction > 0 ? backlog_ms * (1 - fraction) / fraction : longest;
    const double wait = std::max(static_cast<double>(expected.count()), backlog);
    if (fraction <= 0 || wait * jitter > longest) {
        return shortest;
    }
    return choose_retry_after(milliseconds(std::llround(wait)), jitter);
}

demand_knowledge assess_demand_knowledge(nanoseconds silence) {
    return silence >= unknown_after    ? demand_knowledge::unknown
           : silence >= estimate_after ? demand_knowledge::estimated
                                       : demand_knowledge::known;
}

} // namespace cassiaspan
