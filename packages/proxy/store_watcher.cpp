#include "store_watcher.h"

#include "fleet_hubs.h"
#include "vm_report.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// All that the platform and the operators write, and the VMs' records.
const std::string watched_prefix;
// How long one watch waits. A store that is silent is noticed after this time and the client's own timeout.
constexpr milliseconds watch_wait{1500};
// Changes that come in quick succession are read together.
constexpr milliseconds batch_time{150};
constexpr milliseconds first_retry{80};
constexpr milliseconds max_retry{700};
// How often a VM that does not read the store looks whether it is to read it.
constexpr milliseconds not_reading_interval{200};
// Removals that are remembered, so that a stale source cannot bring an entry back.
constexpr std::size_t kept_removals = 4096;
// Time to live of the VM's record, and the time between renewals.
constexpr milliseconds record_lease{30'000};
constexpr milliseconds record_renewal{10'000};
constexpr milliseconds record_check{200};

void note_answer(node_core& core, bool answered, const char* what, const char* outcome) {
    const instant now = now_of(core);
    ++core.metrics.store_calls_by_outcome[std::string(what) + "_" + outcome];
    if (answered) {
        if (core.store_is_unavailable) {
            core.store_recovered = now;
            const auto away = std::chrono::floor<milliseconds>(now - core.store_unavailable_since);
            core.log.write(now, node_event::store_recovered,
                           log_fields().add("away_ms", away.count()).add("revision", core.mirror.revision));
        }
        core.store_is_unavailable = false;
        return;
    }
    if (!core.store_is_unavailable) {
        core.store_is_unavailable = true;
        core.store_unavailable_since = now;
        core.log.write(
            now, node_event::store_unavailable,
            log_fields().add("call", what).add("why", outcome).add("revision", core.mirror.revision));
    }
}

// Waits before the next try: longer each time, and drawn from a range so that VMs do not return together.
asio::awaitable<void> back_off(node_core& core, milliseconds& wait) {
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    const auto time = static_cast<double>(wait.count()) * spread(core.random);
    wait = std::min(max_retry, wait * 2);
    co_await sleep_for(core.context, milliseconds(static_cast<std::int64_t>(time)));
}

asio::awaitable<bool> read_everything(node_core& core, metadata_store& store) {
    const auto read = co_await store.read_all(watched_prefix);
    note_answer(core, read.has_value(), "read", read ? "answered" : to_string(read.error()));
    if (!read) {
        co_return false;
    }
    const std::vector<store_change> fresh = merge_snapshot(core.mirror, read->changes, read->revision);
    apply_store_changes(core, fresh);
    co_return true;
}

void take_events(node_core& core, const store_read_result& events) {
    const std::vector<store_change> fresh = merge_changes(core.mirror, events.changes);
    core.mirror.revision = std::max(core.mirror.revision, events.revision);
    apply_store_changes(core, fresh);
    prune_tombstones(core.mirror, kept_removals);
}

// Watches until the history is lost or a call fails. Returns whether everything must be read again.
asio::awaitable<bool> watch_changes(node_core& core, metadata_store& store) {
    milliseconds wait = first_retry;
    for (;;) {
        if (!reads_store_directly(core)) {
            // The hubs pass on what they read.
            co_await sleep_for(core.context, not_reading_interval);
            continue;
        }
        const auto events = co_await store.watch(watched_prefix, core.mirror.revision, watch_wait);
        const bool lost_history = !events && events.error() == store_failure::history_lost;
        note_answer(core, events || lost_history, "watch", events ? "answered" : to_string(events.error()));
        if (lost_history) {
            co_return true;
        }
        if (!events) {
            co_await back_off(core, wait);
            continue;
        }
        wait = first_retry;
        if (!events->changes.empty()) {
            take_events(core, *events);
            co_await sleep_for(core.context, batch_time);
        }
        core.mirror.revision = std::max(core.mirror.revision, events->revision);
    }
}

} // namespace

asio::awaitable<void> watch_store(node_core& core, metadata_store& store) {
    milliseconds wait = first_retry;
    for (;;) {
        const bool complete = co_await read_everything(core, store);
        if (!complete) {
            co_await back_off(core, wait);
            continue;
        }
        wait = first_retry;
        co_await watch_changes(core, store);
    }
}

asio::awaitable<void> maintain_vm_record(node_core& core, metadata_store& store) {
    const std::string key = core.platform.vm_record_key(core.settings.vm);
    milliseconds wait = first_retry;
    std::uint64_t lease = 0;
    instant renew_at = now_of(core);
    while (core.phase == node_phase::starting || core.phase == node_phase::serving) {
        if (now_of(core) < renew_at) {
            co_await sleep_for(core.context, record_check);
            continue;
        }
        if (lease != 0) {
            const auto renewed = co_await store.renew_lease(lease);
            if (!renewed && renewed.error() == store_failure::rejected) {
                lease = 0;
            } else if (!renewed) {
                co_await back_off(core, wait);
                continue;
            }
        }
        if (lease == 0) {
            const auto granted =
                co_await store.grant_lease(std::max(record_lease, core.settings.min_lease_ttl));
            bool written = false;
            if (granted) {
                std::string record = make_vm_record(core).SerializeAsString();
                const auto put = co_await store.put(key, std::move(record), granted->id);
                written = put.has_value();
            }
            if (!written) {
                co_await back_off(core, wait);
                continue;
            }
            lease = granted->id;
        }
        wait = first_retry;
        renew_at = now_of(core) + record_renewal;
    }
    if (lease != 0) {
        const auto ended = co_await store.revoke_lease(lease);
        if (!ended) {
            core.log.write(now_of(core), node_event::store_unavailable,
                           log_fields().add("call", "end_lease").add("why", to_string(ended.error())));
        }
    }
}

} // namespace cassiaspan
