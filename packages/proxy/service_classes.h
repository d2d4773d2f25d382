// The classes of the requests of one service, as class_admission.h keeps them on each VM.
#pragma once

#include "admission.h"
#include "asio_types.h"
#include "region_shares.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cassiaspan {

// What admission control decided about a request.
enum class admission_decision {
    // The request is not subject to it: its service has one class, or a peer decided about it.
    none,
    run,
    // The request waited for a slot before it ran, or before its caller left.
    wait,
    refuse
};

// Returns the name of the decision for the log and the metrics.
[[nodiscard]] const char* to_string(admission_decision decision);

// One class of a service.
struct service_class {
    class_priority priority;
    // Shortest latency objective of its routes.
    milliseconds objective{};
    // Requests that this VM has read; its reports carry the number.
    std::uint64_t asked = 0;
    // Request rate of all VMs that report classes, this one included, and of this VM alone.
    demand_meter fleet_demand;
    demand_meter own_demand;
    // Moving averages of the slot time at targets: over all requests, over warm and over cold ones. Zero
    // until measured.
    milliseconds service_time{};
    milliseconds warm_time{};
    milliseconds cold_time{};
    // What the class may use while the service is short of slots.
    class_share share;
    // Set while more urgent classes use a service that is short of slots: the part of the slots that those of
    // them which need kept slots are expected to occupy, 0 to 1. Requests of the class do not queue at
    // targets then.
    std::optional<double> more_urgent_occupancy;
};

// The classes of one service.
struct service_classes {
    // Most urgent first. Both vectors are empty if the service has fewer than two classes.
    std::vector<class_priority> priorities;
    std::vector<service_class> classes;
    slot_shortage shortage;
    admission_accumulators accumulators;
    // The requests that wait for a slot, and the timers that they wait for, by ticket.
    waiting_queue waiting;
    std::map<std::uint64_t, asio::steady_timer*> waiting_timers;
};

} // namespace cassiaspan
