#include "steering_node.h"

#include "accept_loop.h"
#include "background_task.h"
#include "caller_session.h"
#include "class_admission.h"
#include "gossip.h"
#include "reach_tracking.h"
#include "region_balance.h"
#include "relay.h"
#include "simple_http_service.h"
#include "stop_schedule.h"
#include "store_sync.h"
#include "store_watcher.h"
#include "target_connections.h"
#include "vm_report.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <malloc.h>
#include <sys/resource.h>

namespace cassiaspan {

namespace {

constexpr milliseconds housekeeping_interval{200};
constexpr milliseconds deadline_check_interval{25};
constexpr milliseconds log_flush_interval{100};
constexpr milliseconds stop_poll_interval{50};

// Lateness up to this is normal timer inaccuracy and is not counted as loop delay.
constexpr milliseconds timer_tolerance{5};

// A loop delay over the first makes the VM busy for the second: requests then wait for a good part of the
// shortest latency objectives, and the flag outlasts several reports.
constexpr milliseconds busy_loop_delay{50};
constexpr milliseconds busy_period{1000};

// Updates the loop delay from the lateness of a timer.
void update_loop_delay(node_core& core, milliseconds lateness) {
    const milliseconds delay = lateness > timer_tolerance ? lateness : milliseconds(0);
    // Increases immediately and halves at each update, because the delayed requests are read over several
    // loop iterations.
    core.loop_delay = std::max(delay, core.loop_delay / 2);
    if (core.loop_delay > busy_loop_delay) {
        core.busy_until = now_of(core) + busy_period;
    }
}

// Measures what requests cost this VM.
void sample_own_usage(node_core& core, instant now) {
    rusage usage{};
    if (::getrusage(RUSAGE_SELF, &usage) != 0) {
        return;
    }
    const auto to_duration = [](const timeval& time) {
        return seconds(time.tv_sec) + microseconds(time.tv_usec);
    };
    usage_totals totals;
    totals.cpu_time = to_duration(usage.ru_utime) + to_duration(usage.ru_stime);
    for (const auto& [name, stats] : core.services) {
        totals.requests += stats.request_count;
    }
    totals.bytes = core.caller_bytes;
    sample_usage(core.cost_meter, totals, core.requests_in_progress == 0, now);
}

// Makes the allocator return large blocks to the system as soon as they are freed. By default it raises both
// thresholds as blocks are freed, up to 32 and 64 MB, and keeps what bodies have used.
void return_freed_memory() {
#ifdef __GLIBC__
    constexpr int threshold_bytes = 64 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    ::mallopt(M_TRIM_THRESHOLD, threshold_bytes);
#endif
}

// Limits what the kernel takes for the connections that the listener will accept, if the memory is limited.
void limit_send_queues(const node_core& core, tcp::acceptor& acceptor) {
    const auto& budget = core.memory.budget;
    if (budget.has_value()) {
        limit_unsent_bytes(acceptor.native_handle(), budget->unsent_bytes);
    }
}

// The listeners, connections and background tasks of a running VM.
class running_node {
public:
    running_node(node_core& core_in, const store_factory& make_store, const settings_loader& load_settings_in)
        : core(core_in), load_settings(load_settings_in), caller_acceptor(core_in.context),
          readiness_acceptor(core_in.context), lookup_acceptor(core_in.context),
          peer_acceptor(core_in.context), relay_acceptor(core_in.context), metrics_acceptor(core_in.context),
          gossip(core_in), watch_connection(make_store(core_in.context)),
          record_connection(make_store(core_in.context)), signals(core_in.context, SIGTERM, SIGINT, SIGHUP) {}

    // Binds all listeners. Returns the address and the reason if one fails.
    tl::expected<void, std::string> open() {
        const node_settings& settings = this->core.settings;
        const std::vector<std::pair<tcp::acceptor*, socket_address>> listeners{
            {&this->caller_acceptor, settings.caller_address},
            {&this->readiness_acceptor, settings.readiness_address},
            {&this->lookup_acceptor, settings.directory_address},
            {&this->peer_acceptor, settings.peer_address},
            {&this->relay_acceptor, settings.relay_address},
            {&this->metrics_acceptor, settings.metrics_address}};
        for (const auto& [acceptor, address] : listeners) {
            if (address.port == 0) {
                continue;
            }
            if (const error_code error = bind_and_listen(*acceptor, address)) {
                return tl::unexpected(format_address(address) + ": " + error.message());
            }
            limit_send_queues(this->core, *acceptor);
        }
        if (const error_code error = this->gossip.open()) {
            return tl::unexpected(format_address(settings.gossip_address) + ": " + error.message());
        }
        return {};
    }

    // Starts all background tasks.
    void start() {
        this->spawn("callers' listener",
                    [this] { return accept_callers(this->core, this->caller_acceptor); });
        if (this->relay_acceptor.is_open()) {
            this->spawn("relays' listener",
                        [this] { return accept_relays(this->core, this->relay_acceptor); });
        }
        this->serve_simple(this->readiness_acceptor, answer_readiness_check);
        this->serve_simple(this->lookup_acceptor, answer_lookup);
        this->serve_simple(this->metrics_acceptor, answer_metrics);
        this->spawn("peers' listener", [this] { return serve_store_sync(this->core, this->peer_acceptor); });
        this->spawn("store sync", [this] { return pull_store_changes(this->core); });
        this->spawn("gossip sender", [this] { return this->gossip.send_loop(); });
        this->spawn("gossip receiver", [this] { return this->gossip.receive_loop(); });
        this->spawn("store watch", [this] { return watch_store(this->core, *this->watch_connection); });
        this->spawn("VM record", [this] { return maintain_vm_record(this->core, *this->record_connection); });
        this->spawn("target probes", [this] { return probe_lost_targets(this->core); });
        this->spawn("deadlines", [this] { return this->check_deadlines(); });
        this->spawn("housekeeping", [this] { return this->run_housekeeping(); });
        this->spawn("log", [this] { return this->flush_log(); });
        this->spawn("signals", [this] { return this->handle_signals(); });
    }

private:
    void spawn(std::string name, task_factory start) {
        asio::co_spawn(this->core.context, run_background_task(this->core, std::move(name), std::move(start)),
                       asio::detached);
    }

    // Serves the listener with `answer` if it is open.
    template <class Answer> void serve_simple(tcp::acceptor& acceptor, Answer answer) {
        if (acceptor.is_open()) {
            this->spawn("listener", [this, &acceptor, answer] {
                return serve_simple_requests(
                    this->core, acceptor,
                    [this, answer](const simple_request& request) { return answer(this->core, request); });
            });
        }
    }

    // Runs expired deadlines, and measures the delay of the event loop by the lateness of its own timer.
    asio::awaitable<void> check_deadlines() {
        for (;;) {
            const instant due = now_of(this->core) + deadline_check_interval;
            co_await sleep_for(this->core.context, deadline_check_interval);
            const instant now = now_of(this->core);
            update_loop_delay(this->core, std::chrono::floor<milliseconds>(now - due));
            this->core.deadlines.run_expired(now);
        }
    }

    // Periodically removes expired state and updates the region shares.
    asio::awaitable<void> run_housekeeping() {
        for (;;) {
            co_await sleep_for(this->core.context, housekeeping_interval);
            const instant now = now_of(this->core);
            remove_lost_items(this->core);
            apply_outdated_entries(this->core);
            this->core.targets.apply_due_removals(now);
            expire_peers(this->core.peers, now);
            remove_expired_suspects(this->core.crash_quarantine, now);
            std::erase_if(this->core.failed_requests_by_target, [this](const auto& entry) {
                return this->core.targets.all().count(entry.first) == 0;
            });
            std::erase_if(this->core.crash_reports, [now](const auto& entry) { return entry.second <= now; });
            for (const auto& [id, target] : this->core.targets.all()) {
                close_expired_connections(*target, now);
            }
            remove_stale_relays(this->core);
            clear_silent_peer_loads(this->core);
            update_region_shares(this->core, housekeeping_interval);
            sample_own_usage(this->core, now);
            this->core.metrics.busy = is_busy(this->core);
            update_class_admission(this->core, housekeeping_interval);
        }
    }

    asio::awaitable<void> flush_log() {
        for (;;) {
            this->core.log.flush();
            co_await sleep_for(this->core.context, log_flush_interval);
        }
    }

    // Reads the settings again. Invalid settings are logged and those in use are kept.
    void reload_settings() {
        const instant now = now_of(this->core);
        const auto loaded = this->load_settings();
        if (!loaded) {
            for (const finding& problem : loaded.error()) {
                this->core.log.write(now, node_event::settings_reloaded,
                                     log_fields()
                                         .add("outcome", "rejected")
                                         .add("place", problem.path)
                                         .add("why", problem.text));
            }
            return;
        }
        const bool needs_restart = apply_reloaded_settings(this->core.settings, *loaded);
        this->core.memory.budget = divide_machine(this->core.settings);
        this->core.log.write(now, node_event::settings_reloaded,
                             log_fields().add("outcome", "applied").add("needs_restart", needs_restart));
    }

    // Starts the planned stop on SIGTERM or SIGINT, and reloads the settings on SIGHUP.
    asio::awaitable<void> handle_signals() {
        for (;;) {
            error_code error;
            const int signal = co_await this->signals.async_wait(capture_error(error));
            if (signal != SIGHUP) {
                break;
            }
            this->reload_settings();
        }
        co_await this->stop();
    }

    // Serves the connections that the kernel has accepted and that wait for the listener, then closes it:
    // closing alone would reset them.
    void close_listener(tcp::acceptor& acceptor, const connection_handler& handler) {
        if (!acceptor.is_open()) {
            return;
        }
        error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            auto socket = std::make_shared<tcp::socket>(this->core.context);
            acceptor.accept(*socket, error);
            if (!error) {
                spawn_task(this->core, "connection", handler(std::move(socket)));
            }
        }
        acceptor.close(error);
    }

    // Ends the requests that are being forwarded as if their deadlines had passed.
    void cancel_requests() {
        for (request_cancellation* cancellation : this->core.forwarded_requests) {
            cancel_on_timeout(*cancellation);
        }
    }

    // Performs a planned stop: the VM removes itself from lookups, handles requests that arrive meanwhile,
    // then refuses new ones, waits for those in progress, answers those that take too long, and stops the
    // event loop.
    asio::awaitable<void> stop() {
        const instant handled_at = now_of(this->core);
        // The signal has waited for as long as the event loop was delayed, at most.
        const stop_schedule schedule =
            make_stop_schedule(this->core.settings.stop_grace, this->core.loop_delay);
        this->core.phase = node_phase::stop_announced;
        this->gossip.announce();
        this->core.log.write(handled_at, node_event::stopping,
                             log_fields().add("in_progress", this->core.requests_in_progress));
        co_await sleep_for(this->core.context, schedule.refusal);
        this->core.phase = node_phase::draining;
        this->close_listener(this->caller_acceptor, [this](std::shared_ptr<tcp::socket> socket) {
            return serve_caller_connection(this->core, std::move(socket));
        });
        this->close_listener(this->relay_acceptor, [this](std::shared_ptr<tcp::socket> socket) {
            return serve_relay_connection(this->core, std::move(socket));
        });
        // The new connections' requests are in progress once they have been read.
        co_await sleep_for(this->core.context, stop_poll_interval);
        while (this->core.requests_in_progress > 0 && now_of(this->core) - handled_at < schedule.exit) {
            if (now_of(this->core) - handled_at >= schedule.last_answers) {
                this->cancel_requests();
            }
            co_await sleep_for(this->core.context, stop_poll_interval);
        }
        // Gives the last responses time to be sent before the process exits.
        co_await sleep_for(this->core.context, stop_poll_interval);
        this->core.log.write(now_of(this->core), node_event::stopped,
                             log_fields().add("in_progress", this->core.requests_in_progress));
        this->core.log.flush();
        this->core.context.stop();
    }

    node_core& core;
    const settings_loader& load_settings;
    tcp::acceptor caller_acceptor;
    tcp::acceptor readiness_acceptor;
    tcp::acceptor lookup_acceptor;
    tcp::acceptor peer_acceptor;
    tcp::acceptor relay_acceptor;
    tcp::acceptor metrics_acceptor;
    gossip_socket gossip;
    std::unique_ptr<metadata_store> watch_connection;
    std::unique_ptr<metadata_store> record_connection;
    asio::signal_set signals;
};

} // namespace

tl::expected<void, std::string> run_node(const clock& clock_source, const node_settings& settings,
                                         const platform_adapter& platform, const store_factory& make_store,
                                         const settings_loader& load_settings, node_log& log) {
    std::signal(SIGPIPE, SIG_IGN);
    node_core core(clock_source, settings, platform, log);
    core.incarnation = static_cast<std::uint64_t>(unix_milliseconds());
    if (core.memory.budget) {
        return_freed_memory();
    }
    running_node node(core, make_store, load_settings);
    if (auto opened = node.open(); !opened) {
        return opened;
    }
    log.write(
        now_of(core), node_event::started,
        log_fields()
            .add("callers", format_address(settings.caller_address))
            .add("zone", settings.availability_zone)
            .add("region", settings.region)
            .add("memory_limit_bytes", choose_memory_limit(settings.memory_bytes, find_machine_memory())));
    node.start();
    core.context.run();
    core.targets.close_idle_connections();
    core.relays.clear();
    return {};
}

} // namespace cassiaspan
