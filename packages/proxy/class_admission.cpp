#include "class_admission.h"

#include "retry_after.h"
#include "stable_hash.h"
#include "target_selection.h"

#include <algorithm>
#include <fmt/format.h>

namespace cassiaspan {

namespace {

// Part of the slots that is divided among the classes. The rest is for random variation, and for the requests
// that other VMs send before their reports arrive: beyond it, runs already take longer than the objective.
constexpr double planned_utilization = 0.9;
// More urgent classes that are expected to occupy less than this part of the slots do not use the service.
constexpr double min_urgent_occupancy = 0.01;
// Longest time for which a waiting request does not look for a slot. Loads at other VMs change by reports,
// which wake nobody.
constexpr milliseconds wait_interval{20};
// Number of waiting requests that look for a slot when one may have become free. Each looks at all targets of
// the service.
constexpr std::size_t max_tries_at_once = 4;
// Number of class counts that are kept for one peer.
constexpr std::size_t max_counts_per_peer = 128;

// Takes the classes of all services from the current configuration. Classes that stay keep their counts.
void adopt_classes(node_core& core) {
    if (!core.settings.admits_by_class || core.classes_config == core.config) {
        return;
    }
    core.classes_config = core.config;
    for (const service_rule& rule : core.config->rules().services) {
        get_service_stats(core, rule.name);
    }
    for (auto& [service, stats] : core.services) {
        std::vector<class_priority> priorities = find_classes(core.config->rules(), service);
        const std::vector<milliseconds> objectives =
            find_objectives(core.config->rules(), service, priorities);
        std::vector<service_class> classes;
        classes.reserve(priorities.size());
        for (std::size_t i = 0; i < priorities.size(); ++i) {
            const auto previous =
                std::find_if(stats.classes.classes.begin(), stats.classes.classes.end(),
                             [&](const service_class& each) { return each.priority == priorities[i]; });
            service_class& each = classes.emplace_back();
            if (previous != stats.classes.classes.end()) {
                each = *previous;
            }
            each.priority = priorities[i];
            each.objective = objectives[i];
        }
        if (priorities != stats.classes.priorities) {
            stats.classes.shortage = {};
            stats.classes.accumulators = {};
        }
        stats.classes.priorities = std::move(priorities);
        stats.classes.classes = std::move(classes);
    }
}

// Returns the class of the request; null if it is not subject to admission control.
service_class* find_class_of(service_stats& stats, const request_plan& plan) {
    if (plan.admission == admission_decision::none || stats.classes.classes.empty()) {
        return nullptr;
    }
    return &stats.classes.classes[find_class(stats.classes.priorities, plan.rank)];
}

service_class* find_class_of(node_core& core, const request_plan& plan) {
    return find_class_of(get_service_stats(core, plan.service), plan);
}

// Returns the class's times, or those of the service while the class was not measured.
service_times times_of(const service_stats& stats, const service_class& each) {
    return each.service_time == milliseconds(0)
               ? expected_service_times(stats)
               : expected_service_times(each.service_time, each.warm_time, each.cold_time);
}

double sample_jitter(node_core& core) {
    return std::uniform_real_distribution<double>(0.5, 1.5)(core.random);
}

milliseconds time_to_deadline(const node_core& core, const request_plan& plan) {
    return std::chrono::duration_cast<milliseconds>(plan.deadline - now_of(core));
}

// Returns when the peer sent its last report, or when it was first seen if it has sent none.
instant last_report_of(const peer_vm& peer) {
    return peer.last_heard ? *peer.last_heard : peer.first_seen;
}

// Returns for how long no VM has sent a report; 0 if no other VM is known.
nanoseconds gossip_silence(const node_core& core) {
    if (core.peers.by_name.empty()) {
        return {};
    }
    instant last = instant::min();
    for (const auto& [name, peer] : core.peers.by_name) {
        const instant reported = last_report_of(peer);
        last = reported > last ? reported : last;
    }
    return now_of(core) - last;
}

// The targets of a service that accept requests.
struct usable_targets {
    double count = 0;
    double slots = 0;
};

usable_targets count_usable_targets(const node_core& core, const std::string& service) {
    const instant now = now_of(core);
    usable_targets usable;
    for (const target_ptr& target : core.targets.find_by_service(service)) {
        if (accepts_new_requests(core, *target, now)) {
            ++usable.count;
            usable.slots += static_cast<double>(target->info.slots);
        }
    }
    return usable;
}

// What a VM knows of the other VMs when it updates the shares.
struct fleet_view {
    demand_knowledge knowledge = demand_knowledge::known;
    // Number of VMs, this one included.
    double vm_count = 1;
};

std::vector<class_demand> compute_demands(const service_stats& stats, const fleet_view& fleet, instant now) {
    std::vector<class_demand> demands;
    for (const service_class& each : stats.classes.classes) {
        const double rate = fleet.knowledge == demand_knowledge::known
                                ? demand_rate(each.fleet_demand, now)
                                : demand_rate(each.own_demand, now) * fleet.vm_count;
        const milliseconds time =
            each.service_time != milliseconds(0) ? each.service_time : expected_service_times(stats).warm;
        demands.push_back({rate, std::chrono::duration<double>(time).count()});
    }
    return demands;
}

// Sets the shares of the classes, and what less urgent ones leave to more urgent ones. `slots_per_target` is
// the average.
void set_shares(service_classes& classes, const std::vector<class_demand>& demands, double divided_slots,
                double slots_per_target) {
    const bool is_short = classes.shortage.is_short;
    const std::vector<class_share> shares = divide_slots(demands, divided_slots);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        service_class& each = classes.classes[i];
        each.share = is_short ? shares[i] : class_share{shares[i].slots, 1};
        each.more_urgent_occupancy.reset();
        if (!is_short) {
            continue;
        }
        double more_urgent = 0;
        double kept = 0;
        for (std::size_t other = 0; other < i; ++other) {
            const std::chrono::duration<double> objective = classes.classes[other].objective;
            more_urgent += shares[other].slots;
            kept += needs_kept_slots(objective.count(), demands[other].slot_time, demands[i].slot_time,
                                     slots_per_target)
                        ? shares[other].slots
                        : 0;
        }
        if (more_urgent >= min_urgent_occupancy * divided_slots) {
            each.more_urgent_occupancy = kept / divided_slots;
        }
    }
}

void update_service(node_core& core, const std::string& service, service_stats& stats,
                    const fleet_view& fleet, milliseconds interval) {
    const instant now = now_of(core);
    service_classes& classes = stats.classes;
    const usable_targets usable = count_usable_targets(core, service);
    const double divided_slots = usable.slots * planned_utilization;
    const std::vector<class_demand> demands = compute_demands(stats, fleet, now);
    const bool was_short = classes.shortage.is_short;
    double occupied = 0;
    for (const auto& [region, slots] : stats.occupied_slots) {
        occupied += slots;
    }
    update_shortage(classes.shortage, demands, occupied, divided_slots, interval);
    if (fleet.knowledge == demand_knowledge::unknown || divided_slots <= 0) {
        classes.shortage = {};
    }
    set_shares(classes, demands, divided_slots, usable.slots / std::max(1.0, usable.count));
    if (was_short != classes.shortage.is_short) {
        core.log.write(now, node_event::shortage_changed,
                       log_fields()
                           .add("service", service)
                           .add("short", classes.shortage.is_short)
                           .add("pressure", classes.shortage.pressure)
                           .add("slots", divided_slots));
    }
}

std::vector<class_count>::iterator find_count(std::vector<class_count>& counts, std::uint32_t service,
                                              std::uint32_t priority) {
    return std::find_if(counts.begin(), counts.end(), [&](const class_count& each) {
        return each.service == service && each.priority == priority;
    });
}

} // namespace

const char* to_string(admission_decision decision) {
    switch (decision) {
    case admission_decision::none:
        return "none";
    case admission_decision::run:
        return "run";
    case admission_decision::wait:
        return "wait";
    case admission_decision::refuse:
        return "refuse";
    }
    return "unknown";
}

void count_class_request(node_core& core, request_plan& plan) {
    adopt_classes(core);
    service_stats& stats = get_service_stats(core, plan.service);
    if (stats.classes.classes.empty()) {
        return;
    }
    plan.admission = admission_decision::run;
    service_class& own = *find_class_of(stats, plan);
    const instant now = now_of(core);
    ++own.asked;
    record_demand(own.own_demand, 1, now);
    record_demand(own.fleet_demand, 1, now);
}

void add_class_demands(const service_classes& classes, schema::ServiceDemand& demand) {
    for (const service_class& each : classes.classes) {
        schema::ClassDemand& entry = *demand.add_classes();
        entry.set_priority(pack_priority(each.priority));
        entry.set_asked(each.asked);
    }
}

void apply_class_demands(node_core& core, peer_vm& peer, const schema::ServiceDemand& demand) {
    for (const schema::ClassDemand& reported : demand.classes()) {
        const auto known = find_count(peer.class_demands, demand.service(), reported.priority());
        if (known == peer.class_demands.end()) {
            if (peer.class_demands.size() < max_counts_per_peer) {
                peer.class_demands.push_back({demand.service(), reported.priority(), reported.asked()});
            }
            continue;
        }
        // A lower count belongs to a class that the configuration had left out for a while.
        const std::uint64_t asked = reported.asked() > known->asked ? reported.asked() - known->asked : 0;
        known->asked = reported.asked();
        if (asked == 0) {
            continue;
        }
        for (auto& [name, stats] : core.services) {
            for (service_class& each : stats.classes.classes) {
                if (stats.name_hash == demand.service() &&
                    pack_priority(each.priority) == reported.priority()) {
                    record_demand(each.fleet_demand, static_cast<double>(asked), now_of(core));
                }
            }
        }
    }
}

void forward_class_demands(const peer_vm& peer, std::uint32_t service, forwarded_counts& last_forwarded,
                           bool send_all_counts, schema::ServiceDemand& demand) {
    for (const class_count& known : peer.class_demands) {
        if (known.service != service) {
            continue;
        }
        const auto forwarded = find_count(last_forwarded.class_demands, service, known.priority);
        const bool is_new = forwarded == last_forwarded.class_demands.end();
        if (!send_all_counts && !is_new && forwarded->asked == known.asked) {
            continue;
        }
        schema::ClassDemand& entry = *demand.add_classes();
        entry.set_priority(known.priority);
        entry.set_asked(known.asked);
        if (is_new) {
            last_forwarded.class_demands.push_back(known);
        } else {
            forwarded->asked = known.asked;
        }
    }
}

void update_class_admission(node_core& core, milliseconds interval) {
    adopt_classes(core);
    const bool has_classes = std::any_of(core.services.begin(), core.services.end(), [](const auto& entry) {
        return !entry.second.classes.classes.empty();
    });
    if (!has_classes) {
        return;
    }
    const fleet_view fleet{assess_demand_knowledge(gossip_silence(core)),
                           static_cast<double>(count_bucket_replicas(core).total)};
    for (auto& [service, stats] : core.services) {
        if (!stats.classes.classes.empty()) {
            update_service(core, service, stats, fleet, interval);
        }
    }
}

std::optional<local_reply> refuse_beyond_share(node_core& core, request_plan& plan) {
    service_stats& stats = get_service_stats(core, plan.service);
    const service_class* own = find_class_of(stats, plan);
    if (own == nullptr) {
        return std::nullopt;
    }
    const std::uint32_t workspace =
        plan.workspace == nullptr ? 0 : low_32_bits(stable_hash(plan.workspace->name));
    if (take_share(stats.classes.accumulators, own->priority, workspace, own->share.fraction,
                   stable_hash(core.settings.vm))) {
        return std::nullopt;
    }
    record_admission(core, plan, admission_decision::refuse);
    return local_reply{503, "class_over_share", class_refusal_retry_after(core, plan, min_retry_after)};
}

milliseconds class_refusal_retry_after(node_core& core, const request_plan& plan, milliseconds expected) {
    const service_class* own = find_class_of(core, plan);
    const double jitter = sample_jitter(core);
    if (own == nullptr || own->share.fraction >= 1) {
        return choose_retry_after(expected, jitter);
    }
    return class_retry_after(expected, own->share.fraction, time_to_deadline(core, plan), jitter);
}

void record_admission(node_core& core, request_plan& plan, admission_decision decision) {
    const service_class* own = find_class_of(core, plan);
    if (own == nullptr) {
        return;
    }
    plan.admission = decision;
    ++core.metrics.admissions[{plan.service, fmt::format("{}.{}", own->priority.first, own->priority.second),
                               to_string(decision)}];
}

service_times class_service_times(node_core& core, const request_plan& plan) {
    service_stats& stats = get_service_stats(core, plan.service);
    const service_class* own = find_class_of(stats, plan);
    return own == nullptr ? expected_service_times(stats) : times_of(stats, *own);
}

std::optional<double> more_urgent_occupancy(node_core& core, const request_plan& plan) {
    const service_class* own = find_class_of(core, plan);
    return own == nullptr ? std::nullopt : own->more_urgent_occupancy;
}

bool is_class_service_short(node_core& core, const request_plan& plan) {
    return plan.admission != admission_decision::none &&
           get_service_stats(core, plan.service).classes.shortage.is_short;
}

void record_class_time(node_core& core, const request_plan& plan, const measured_attempt& attempt) {
    service_class* own = find_class_of(core, plan);
    if (own == nullptr) {
        return;
    }
    const milliseconds time = estimate_service_time(attempt.target_time, attempt.load_at_send, attempt.slots);
    own->service_time = moving_average(own->service_time, time);
    if (attempt.target_is_warm) {
        milliseconds& average = *attempt.target_is_warm ? own->warm_time : own->cold_time;
        average = moving_average(average, time);
    }
}

bool has_more_urgent_waiter(node_core& core, const request_plan& plan) {
    const service_stats& stats = get_service_stats(core, plan.service);
    return plan.admission != admission_decision::none && !stats.classes.waiting.places.empty() &&
           stats.classes.waiting.places.begin()->priority < plan.rank;
}

std::optional<instant> end_of_class_wait(node_core& core, const request_plan& plan) {
    service_stats& stats = get_service_stats(core, plan.service);
    const service_class* own = find_class_of(stats, plan);
    if (own == nullptr) {
        return std::nullopt;
    }
    return end_of_wait(now_of(core), plan.objective_deadline, plan.deadline, times_of(stats, *own).warm);
}

void wake_waiters(node_core& core, const std::string& service) {
    service_classes& classes = get_service_stats(core, service).classes;
    std::size_t woken = 0;
    for (const waiting_place& place : classes.waiting.places) {
        if (woken++ == max_tries_at_once) {
            return;
        }
        classes.waiting_timers.at(place.ticket)->cancel();
    }
}

class_waiter::class_waiter(node_core& core_in, const request_plan& plan,
                           request_cancellation& cancellation_in)
    : core(core_in), classes(get_service_stats(core_in, plan.service).classes), cancellation(cancellation_in),
      timer(core_in.context),
      ticket(enter_queue(this->classes.waiting, plan.rank,
                         plan.objective_deadline - class_service_times(core_in, plan).warm)) {
    this->classes.waiting_timers.emplace(this->ticket, &this->timer);
    this->cancellation.active_wait = &this->timer;
}

class_waiter::~class_waiter() {
    this->cancellation.active_wait = nullptr;
    this->classes.waiting_timers.erase(this->ticket);
    leave_queue(this->classes.waiting, this->ticket);
}

bool class_waiter::is_queued() const {
    return position_in_queue(this->classes.waiting, this->ticket).has_value();
}

bool class_waiter::may_try() const {
    return position_in_queue(this->classes.waiting, this->ticket).value_or(max_tries_at_once) <
           max_tries_at_once;
}

asio::awaitable<void> class_waiter::wait(instant until) {
    const nanoseconds time = std::min<nanoseconds>(until - now_of(this->core), wait_interval);
    this->timer.expires_after(std::max(nanoseconds(0), time));
    error_code ignored;
    co_await this->timer.async_wait(capture_error(ignored));
}

} // namespace cassiaspan
