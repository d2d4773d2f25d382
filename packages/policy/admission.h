// Admission of requests to a service that is short of slots. The requests of a service form classes by
// priority; what is refused or delayed is, as far as possible, of the less urgent classes. All functions
// give the same result on all VMs that hold the same figures, so that no VM decides for others.
//
// Cost: the division is computed once per interval and service, in time proportional to the number of classes
// of the service. One request costs the look-up of one accumulator.
#pragma once

#include "clock.h"
#include "steering_config.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiaspan {

// The priorities by which requests of a service are ranked; 0 is the most urgent. A smaller pair is more
// urgent.
struct class_priority {
    // Priority of the workspace, or of the route if the workspace has none.
    int first = 0;
    // Priority of the route.
    int second = 0;
    auto operator<=>(const class_priority&) const = default;
};

// A service has at most this many classes; further pairs of priorities belong to the least urgent class. It
// bounds the size of a VM's gossip report.
constexpr std::size_t max_classes_per_service = 16;

// Returns the priority of the requests of a route and workspace; `workspace` may be null. Priorities are
// limited to 0 to 65535, so that the pair can be packed.
[[nodiscard]] class_priority make_class_priority(const route_rule& route, const workspace_rule* workspace);

// Converts a pair to one number that orders like it, for gossip, and back.
[[nodiscard]] std::uint32_t pack_priority(const class_priority& priority);
[[nodiscard]] class_priority unpack_priority(std::uint32_t packed);

// Returns the classes that requests of the service can have by the configuration, most urgent first. Empty if
// all routes of the service have the same priority: admission control is then off. Priorities of workspaces
// alone do not turn it on, since they do not say that different kinds of work compete for the slots.
[[nodiscard]] std::vector<class_priority> find_classes(const steering_rules& rules,
                                                       const std::string& service);

// Returns the shortest latency objective of the routes of each class.
[[nodiscard]] std::vector<milliseconds> find_objectives(const steering_rules& rules,
                                                        const std::string& service,
                                                        const std::vector<class_priority>& classes);

// Returns the index of the class of requests with `priority`. `classes` must not be empty.
[[nodiscard]] std::size_t find_class(const std::vector<class_priority>& classes,
                                     const class_priority& priority);

// The demand of one class in the fleet.
struct class_demand {
    // Requests per second.
    double rate = 0;
    // Average time for which a request occupies a slot, seconds.
    double slot_time = 0;
    auto operator<=>(const class_demand&) const = default;
};

// What one class may use.
struct class_share {
    // Average number of slots that it is expected to occupy.
    double slots = 0;
    // Fraction of its requests that is admitted, 0 to 1.
    double fraction = 1;
    auto operator<=>(const class_share&) const = default;
};

// Divides the slots among the classes, which are ordered by urgency, most urgent first. Each class gets what
// it needs, except for what is kept for the less urgent ones: a quarter of their part if the slots were
// divided in proportion to demand, or as much as lets them be served a quarter as often as all requests. A
// more urgent class never has a smaller fraction than a less urgent one.
[[nodiscard]] std::vector<class_share> divide_slots(const std::vector<class_demand>& classes,
                                                    double usable_slots);

// Whether a service is short of slots.
struct slot_shortage {
    // Moving average of the expected occupancy over the usable slots.
    double pressure = 0;
    bool is_short = false;
    auto operator<=>(const slot_shortage&) const = default;
};

// Updates the average after `elapsed`. A shortage begins at a pressure of 1 and ends at 0.9. `occupied_slots`
// is the number of requests in flight at the service's targets: while slots are free there, the service is
// not short of them, however much work the classes are expected to bring. Some runs need many times the usual
// work, which makes that expectation too high.
void update_shortage(slot_shortage& shortage, const std::vector<class_demand>& classes, double occupied_slots,
                     double usable_slots, nanoseconds elapsed);

// Accumulators that turn a fraction into single decisions, evenly over time. One for each class and
// workspace, so that a burst of one workspace does not use the fraction of another.
struct admission_accumulators {
    // Fraction of a request that is saved up, by class and workspace.
    std::unordered_map<std::uint64_t, double> credits;
};

// Number of accumulators of one service and VM. Workspaces beyond it share one for each class.
constexpr std::size_t max_accumulators = 1024;

// Returns whether the next request of the class and workspace, given by the hash of its name, is admitted.
// `seed` differs between VMs, so that the first requests that many VMs receive are decided differently.
[[nodiscard]] bool take_share(admission_accumulators& accumulators, const class_priority& priority,
                              std::uint32_t workspace_hash, double fraction, std::uint64_t seed);

// Returns whether more urgent requests need slots that are kept free of less urgent ones: at a target that
// less urgent requests fill, one of these ends after about their slot time over the target's slots, and that
// is too late for the objective. All times in seconds.
[[nodiscard]] bool needs_kept_slots(double objective, double slot_time, double less_urgent_slot_time,
                                    double target_slots);

// Returns how many of the target's slots may be occupied when a request of a less urgent class is sent there.
// `expected_occupancy` is the average number of its slots that those more urgent classes occupy which need
// kept slots. Up to one slot is kept free; a part of a slot is kept as one slot at the same part of the
// targets, which `target_identity` selects.
[[nodiscard]] double slots_for_class(double target_slots, double expected_occupancy,
                                     std::uint64_t target_identity);

// A request that waits at the VM. Order: by priority, then by the latest start with which it meets its
// objective, then by arrival.
struct waiting_place {
    class_priority priority;
    instant latest_start;
    std::uint64_t ticket = 0;
    auto operator<=>(const waiting_place&) const = default;
};

// The requests of one service that wait at this VM.
struct waiting_queue {
    std::set<waiting_place> places;
    std::uint64_t next_ticket = 1;
};

// Number of requests of one service that may wait at one VM. A VM serves few requests per second, and each
// wait is a fraction of a second.
constexpr std::size_t max_waiting = 32;

// Adds a request. If the queue is full, the last request of the order leaves, which may be the new one: the
// result is then 0. Otherwise returns the ticket of the new request, always above 0.
[[nodiscard]] std::uint64_t enter_queue(waiting_queue& queue, const class_priority& priority,
                                        instant latest_start);

// Removes the request, if it still waits.
void leave_queue(waiting_queue& queue, std::uint64_t ticket);

// Returns how many requests wait before the one with the ticket; nullopt if it has left the queue.
[[nodiscard]] std::optional<std::size_t> position_in_queue(const waiting_queue& queue, std::uint64_t ticket);

// Returns until when a request may wait: an eighth of the time to the objective, but not so long that it
// would miss its deadline. `work` is its expected service time. Nullopt if it cannot meet its objective any
// more, so that waiting is of no use.
[[nodiscard]] std::optional<instant> end_of_wait(instant now, instant objective_deadline, instant deadline,
                                                 milliseconds work);

// Returns the Retry-After of a refused request whose caller has `time_left`. It is the longer of `expected`
// and the time in which the class, of which `fraction` is admitted, takes the requests that were refused
// shortly before; spread by `jitter`, which varies around 1. A caller waits for at most a third of
// `time_left`; if that is not long enough, returns the shortest Retry-After.
[[nodiscard]] milliseconds class_retry_after(milliseconds expected, double fraction, milliseconds time_left,
                                             double jitter);

// What a VM knows of the demand at other VMs.
enum class demand_knowledge {
    // Reports of other VMs arrive, or there are none.
    known,
    // No report arrived recently: the other VMs are assumed to receive the same as this one.
    estimated,
    // The same for so long that an estimate is of no use. Requests are admitted as without classes.
    unknown
};

// Returns what is known when no VM has sent a report for `silence`.
[[nodiscard]] demand_knowledge assess_demand_knowledge(nanoseconds silence);

} // namespace cassiaspan
