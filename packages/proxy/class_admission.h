// Admission control of a VM: counts the requests of each class of a service, here and through gossip at the
// other VMs, measures their work, and applies the decisions of policy/admission.h. Services whose requests
// have one class by the configuration are not affected.
#pragma once

#include "node_core.h"
#include "request_plan.h"

#include <optional>

namespace cassiaspan {

// Counts a request of a caller in its class, and marks it in the plan as subject to admission control. Does
// nothing if the service has one class.
void count_class_request(node_core& core, request_plan& plan);

// Adds the counts of all classes to this VM's report on the service. Adds nothing if it has one class.
void add_class_demands(const service_classes& classes, schema::ServiceDemand& demand);

// Adds what a peer has counted since its last report to the demand of the classes. The first count of a class
// only sets the baseline: VMs report a class from zero on.
void apply_class_demands(node_core& core, peer_vm& peer, const schema::ServiceDemand& demand);

// Adds the peer's counts for the service to the report on it that a hub forwards: those that are new or
// changed since `last_forwarded`, which is updated, or all of them.
void forward_class_demands(const peer_vm& peer, std::uint32_t service, forwarded_counts& last_forwarded,
                           bool send_all_counts, schema::ServiceDemand& demand);

// Adopts the classes of the current configuration and updates the shares of all classes. Called at each
// `interval`; takes time proportional to the targets of the services with classes, and to the VMs.
void update_class_admission(node_core& core, milliseconds interval);

// Returns the reply if the request is beyond the share of its class. Must be called once for each request,
// before it is sent anywhere.
[[nodiscard]] std::optional<local_reply> refuse_beyond_share(node_core& core, request_plan& plan);

// Returns the Retry-After of a request that found no room; `expected` is the time by which the best target
// would miss the objective.
[[nodiscard]] milliseconds class_refusal_retry_after(node_core& core, const request_plan& plan,
                                                     milliseconds expected);

// Sets the decision, and counts it in the metrics. Does nothing for requests that are not subject to
// admission control.
void record_admission(node_core& core, request_plan& plan, admission_decision decision);

// Returns the expected service times of the request's class; of its service while the class was not measured,
// or if the request is not subject to admission control.
[[nodiscard]] service_times class_service_times(node_core& core, const request_plan& plan);

// Returns service_class::more_urgent_occupancy of the request's class; nullopt if the request may queue at
// targets.
[[nodiscard]] std::optional<double> more_urgent_occupancy(node_core& core, const request_plan& plan);

// Returns whether the request is subject to admission control and its service is short of slots.
[[nodiscard]] bool is_class_service_short(node_core& core, const request_plan& plan);

// The result of an attempt at a target, as far as it shows the work of the request.
struct measured_attempt {
    milliseconds target_time{};
    // Requests at the target when this one was sent, and its slots.
    double load_at_send = 0;
    double slots = 1;
    // Whether the target was warm; unset if the request has no affinity key.
    std::optional<bool> target_is_warm;
};

// Adds the work of a request that was answered to the averages of its class.
void record_class_time(node_core& core, const request_plan& plan, const measured_attempt& attempt);

// Returns whether a more urgent request of the service waits at this VM.
[[nodiscard]] bool has_more_urgent_waiter(node_core& core, const request_plan& plan);

// Returns until when the request may wait for a slot; nullopt if it may not wait.
[[nodiscard]] std::optional<instant> end_of_class_wait(node_core& core, const request_plan& plan);

// Wakes the first waiting requests of the service. Called when a request of the service ends.
void wake_waiters(node_core& core, const std::string& service);

// The place of a request in the queue of its service; it leaves the queue at the end of its lifetime.
class class_waiter {
public:
    // `plan` and `cancellation` must outlive the object.
    class_waiter(node_core& core_in, const request_plan& plan, request_cancellation& cancellation_in);
    ~class_waiter();
    class_waiter(const class_waiter&) = delete;
    class_waiter& operator=(const class_waiter&) = delete;
    class_waiter(class_waiter&&) = delete;
    class_waiter& operator=(class_waiter&&) = delete;

    // Returns whether the request is in the queue. It is not if others took all places.
    [[nodiscard]] bool is_queued() const;
    // Returns whether the request is one of the first in the queue, and may look for a slot.
    [[nodiscard]] bool may_try() const;
    // Waits for a short interval, but not beyond `until`. Ends early if the request is woken or cancelled.
    asio::awaitable<void> wait(instant until);

private:
    node_core& core;
    service_classes& classes;
    request_cancellation& cancellation;
    asio::steady_timer timer;
    std::uint64_t ticket;
};

} // namespace cassiaspan
