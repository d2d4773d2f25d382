#include "store_watcher.h"

#include "fleet_hubs.h"
#include "vm_report.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Empty: the VM watches all keys, which are those of the platform, the operators and the VM records.
const std::string watched_prefix;
// Maximum wait of one long-poll watch. A store that stops responding is detected after this time plus the
// client's own timeout.
constexpr milliseconds watch_timeout{1500};
// Pause after a watch delivered changes or found the history lost, so that changes in quick succession are
// read in one batch.
constexpr milliseconds batch_delay{150};
// Bounds of the exponential backoff after a failed call.
constexpr milliseconds initial_retry_delay{80};
constexpr milliseconds max_retry_delay{700};
// How often a VM that does not read the store checks whether it has become a reader.
constexpr milliseconds role_check_interval{200};
// Lease TTL of the VM's record, the renewal interval, and how often the renewal loop checks whether to renew
// or stop.
constexpr milliseconds record_lease_ttl{30'000};
constexpr milliseconds record_renewal_interval{10'000};
constexpr milliseconds record_poll_interval{200};
// Factor for the pauses between failed renewals: the lease outlasts several of them.
constexpr int renewal_retry_factor = 4;
// Name of a read of all items in the log and in metric labels.
constexpr std::string_view read_call = "read";

// Counts a store call in the metrics, and logs when the store becomes unavailable and when it recovers.
// `what` and `outcome` form the metric label.
void record_call_result(node_core& core, bool succeeded, std::string_view what, const char* outcome) {
    const instant now = now_of(core);
    ++core.metrics.store_calls_by_outcome[std::string(what) + "_" + outcome];
    core.own_store_access = succeeded ? store_access::reading : store_access::unreachable;
    if (succeeded) {
        if (core.store_is_unavailable) {
            core.store_last_unavailable_at = now;
            const auto outage = std::chrono::floor<milliseconds>(now - core.store_unavailable_since);
            core.log.write(now, node_event::store_recovered,
                           log_fields()
                               .add("away_ms", outage.count())
                               .add("epoch", core.mirror.position.epoch)
                               .add("revision", core.mirror.position.revision));
        }
        core.store_is_unavailable = false;
        return;
    }
    if (!core.store_is_unavailable) {
        core.store_is_unavailable = true;
        core.store_unavailable_since = now;
        core.log.write(now, node_event::store_unavailable,
                       log_fields()
                           .add("call", what)
                           .add("why", outcome)
                           .add("epoch", core.mirror.position.epoch)
                           .add("revision", core.mirror.position.revision));
    }
}

// Returns whether a response was not read to its end.
bool ends_early(store_failure failure) {
    switch (failure) {
    case store_failure::unanswered:
    case store_failure::stalled:
    case store_failure::too_slow:
    case store_failure::oversized:
    case store_failure::superseded:
        return true;
    default:
        return false;
    }
}

// Adds the course of a call to the metrics, and logs it if all items were read, or if a part of the response
// arrived in vain. `failure` is empty if the call succeeded.
void record_transfer(node_core& core, const store_call_report& report, std::string_view what,
                     std::optional<store_failure> failure) {
    core.metrics.store_bytes_by_call[std::string(what)] += report.received_bytes;
    core.metrics.store_ms_by_call[std::string(what)] += static_cast<std::uint64_t>(report.duration.count());
    const bool is_full_read = !failure && what == read_call;
    if (is_full_read || (failure && ends_early(*failure) && report.received_bytes != 0)) {
        core.log.write(now_of(core), node_event::store_transfer,
                       log_fields()
                           .add("call", what)
                           .add("why", failure ? to_string(*failure) : "answered")
                           .add("received_bytes", report.received_bytes)
                           .add("announced_bytes", report.announced_bytes)
                           .add("duration_ms", report.duration.count()));
    }
}

// Counts by which means the VM learned of changes, if its mirror has passed `previous`.
void count_progress(node_core& core, store_position previous, const char* means) {
    if (core.mirror.position > previous) {
        ++core.metrics.caught_up_by_means[means];
    }
}

// Waits before the next attempt and doubles `retry_delay` up to the maximum. Random jitter of 50 to 100 % of
// the delay prevents the VMs from retrying at the same time. `factor` lengthens the delay.
asio::awaitable<void> back_off(node_core& core, milliseconds& retry_delay, int factor = 1) {
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const auto delay_ms = static_cast<double>(retry_delay.count() * factor) * jitter(core.random);
    retry_delay = std::min(max_retry_delay, retry_delay * 2);
    co_await sleep_for(core.context, milliseconds(static_cast<std::int64_t>(delay_ms)));
}

// Reads the whole store into the mirror and applies the changes. Returns false if the read failed.
asio::awaitable<bool> read_full_store(node_core& core, metadata_store& store) {
    const instant started_at = now_of(core);
    const auto read = co_await store.read_all(watched_prefix);
    // A response of an earlier epoch adds nothing to the mirror, which the next watch would continue from.
    const bool is_outdated = read && read->position.epoch < core.mirror.position.epoch;
    const char* outcome = is_outdated ? "outdated" : read ? "answered" : to_string(read.error());
    record_call_result(core, read && !is_outdated, read_call, outcome);
    record_transfer(core, store.take_report(), read_call, read ? std::nullopt : std::optional(read.error()));
    if (!read || is_outdated) {
        co_return false;
    }
    const store_position previous = core.mirror.position;
    merge_store_read(core, {read->changes, read->position, true});
    count_progress(core, previous, "full_read");
    core.store_known_at = started_at;
    co_return true;
}

// Compares the mirror with those of the live peers.
void measure_lag(node_core& core) {
    const instant now = now_of(core);
    store_position newest = core.mirror.position;
    for (const auto& [name, peer] : core.peers.by_name) {
        if (is_alive(peer, now)) {
            newest = std::max(newest, peer.mirror_position);
        }
    }
    core.lag = update_lag(core.lag, core.mirror.position, newest, now);
}

// Waits until this VM is to read the store. Until then another VM reads it, and pull_store_changes() fetches
// the changes from a peer.
asio::awaitable<void> wait_for_reader_role(node_core& core) {
    measure_lag(core);
    while (!reads_store_directly(core)) {
        core.own_store_access = store_access::not_reading;
        if (core.store_is_unavailable) {
            core.store_is_unavailable = false;
            core.store_last_unavailable_at = now_of(core);
        }
        co_await sleep_for(core.context, role_check_interval);
        measure_lag(core);
    }
}

// Returns what a watch has to cost less than.
watch_alternative describe_full_read(const node_core& core) {
    const bool is_in_touch = core.own_store_access == store_access::reading;
    const auto age = std::chrono::floor<milliseconds>(now_of(core) - core.store_known_at);
    return {estimate_full_read_bytes(core.mirror), is_in_touch ? milliseconds(0) : age};
}

// Returns whether the whole store must be read, because the changes since the mirror's position are unknown
// to the store or not worth reading.
bool requires_full_read(store_failure failure) {
    return failure == store_failure::history_lost || failure == store_failure::superseded ||
           failure == store_failure::oversized;
}

// Watches for changes until they can no longer be learned in this way, or the mirror is not verified, so that
// the whole store must be read again. Retries failed calls with backoff.
asio::awaitable<void> watch_changes(node_core& core, metadata_store& store) {
    milliseconds retry_delay = initial_retry_delay;
    for (;;) {
        co_await wait_for_reader_role(core);
        if (!core.mirror_is_verified) {
            co_return;
        }
        // The first call after a failure, or by a new reader, does not wait: it shows whether the store can
        // be reached.
        const milliseconds wait =
            core.own_store_access == store_access::reading ? watch_timeout : milliseconds(0);
        const watch_alternative alternative = describe_full_read(core);
        const auto events = co_await store.watch(watched_prefix, core.mirror.position, wait, alternative);
        const bool must_read_anew = !events && requires_full_read(events.error());
        const char* outcome = events ? "answered" : to_string(events.error());
        const store_call_report report = store.take_report();
        record_call_result(core, events || must_read_anew, "watch", outcome);
        record_transfer(core, report, "watch", events ? std::nullopt : std::optional(events.error()));
        if (must_read_anew) {
            // The store may respond in the same way again and again.
            co_await sleep_for(core.context, batch_delay);
            co_return;
        }
        if (!events) {
            co_await back_off(core, retry_delay, store_retry_factor(core));
            continue;
        }
        retry_delay = initial_retry_delay;
        const store_position previous = core.mirror.position;
        merge_store_read(core, {events->changes, events->position, false});
        count_progress(core, previous, "watch");
        if (events->position.epoch == core.mirror.position.epoch) {
            core.store_known_at = std::max(core.store_known_at, report.responded_at);
        }
        if (!events->changes.empty()) {
            co_await sleep_for(core.context, batch_delay);
        }
    }
}

// The VM's record in the store.
struct held_record {
    // An id of 0 means that there is no lease.
    store_lease lease;
    // The last write of the record.
    store_position position;
};

// Writes the VM's record under a new lease. The lease's id is 0 if the store did not accept it.
asio::awaitable<held_record> write_vm_record(node_core& core, metadata_store& store, const std::string& key) {
    held_record held;
    const auto granted = co_await store.grant_lease(std::max(record_lease_ttl, core.settings.min_lease_ttl));
    if (!granted || granted->epoch < core.mirror.position.epoch) {
        co_return held;
    }
    std::string record = make_vm_record(core).SerializeAsString();
    const auto put = co_await store.put(key, std::move(record), *granted);
    if (put) {
        held.lease = *granted;
        held.position = *put;
    }
    co_return held;
}

} // namespace

asio::awaitable<void> watch_store(node_core& core, metadata_store& store) {
    milliseconds retry_delay = initial_retry_delay;
    for (;;) {
        co_await wait_for_reader_role(core);
        const bool read_succeeded = co_await read_full_store(core, store);
        if (!read_succeeded) {
            co_await back_off(core, retry_delay, store_retry_factor(core));
            continue;
        }
        retry_delay = initial_retry_delay;
        co_await watch_changes(core, store);
    }
}

asio::awaitable<void> maintain_vm_record(node_core& core, metadata_store& store) {
    const std::string key = core.platform.vm_record_key(core.settings.vm);
    milliseconds retry_delay = initial_retry_delay;
    held_record held;
    instant renew_at = now_of(core);
    while (core.phase == node_phase::starting || core.phase == node_phase::serving) {
        if (held.lease.id != 0 && held.lease.epoch < core.mirror.position.epoch) {
            // The restored store may know neither the lease nor the record.
            held = {};
            renew_at = now_of(core);
        }
        // The record of a former incarnation must be read before it is overwritten.
        const bool knows_store = core.mirror.position != store_position{};
        if (!knows_store || now_of(core) < renew_at) {
            co_await sleep_for(core.context, record_poll_interval);
            continue;
        }
        if (held.lease.id != 0) {
            const auto renewed = co_await store.renew_lease(held.lease);
            if (!renewed && renewed.error() == store_failure::rejected) {
                held = {};
            } else if (!renewed) {
                co_await back_off(core, retry_delay, renewal_retry_factor);
                continue;
            }
        }
        if (held.lease.id == 0) {
            held = co_await write_vm_record(core, store, key);
            if (held.lease.id == 0) {
                co_await back_off(core, retry_delay);
                continue;
            }
        }
        retry_delay = initial_retry_delay;
        renew_at = now_of(core) + record_renewal_interval;
    }
    if (held.lease.id != 0) {
        const auto removed = co_await store.remove(key, held.position);
        if (!removed && removed.error() != store_failure::rejected) {
            core.log.write(now_of(core), node_event::store_unavailable,
                           log_fields().add("call", "remove_record").add("why", to_string(removed.error())));
        }
    }
}

} // namespace cassiaspan
