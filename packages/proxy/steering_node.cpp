#include "steering_node.h"

#include "caller_session.h"
#include "gossip.h"
#include "region_balance.h"
#include "simple_http_service.h"
#include "store_sync.h"
#include "store_watcher.h"
#include "target_connections.h"
#include "vm_report.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace cassiaspan {

namespace {

constexpr milliseconds housekeeping_interval{200};
constexpr milliseconds deadline_interval{25};
constexpr milliseconds log_flush_interval{100};
// During a planned stop, work is taken for this part of the grace: callers learn within it that the VM
// leaves.
constexpr int accepting_divisor = 3;
constexpr milliseconds longest_accepting{2500};
// The process ends this long before it would be killed.
constexpr milliseconds stop_reserve{250};
constexpr milliseconds stop_check{50};

// Lateness below this is that of timers.
constexpr milliseconds usual_lateness{5};

void note_loop_delay(node_core& core, milliseconds lateness) {
    const milliseconds delay = lateness > usual_lateness ? lateness : milliseconds(0);
    // Rises at once, falls by half each time: requests that were held up are read over several turns.
    core.loop_delay = std::max(delay, core.loop_delay / 2);
}

// All parts of a running VM.
class running_node {
public:
    running_node(node_core& core_in, const store_factory& make_store)
        : core(core_in), callers(core_in.context), ready(core_in.context), directory(core_in.context),
          peers(core_in.context), metrics(core_in.context), gossip(core_in),
          watch_connection(make_store(core_in.context)), record_connection(make_store(core_in.context)),
          signals(core_in.context, SIGTERM, SIGINT, SIGHUP) {}

    tl::expected<void, std::string> open() {
        const node_settings& settings = this->core.settings;
        const std::vector<std::pair<tcp::acceptor*, socket_address>> listeners{
            {&this->callers, settings.caller_address},
            {&this->ready, settings.readiness_address},
            {&this->directory, settings.directory_address},
            {&this->peers, settings.peer_address},
            {&this->metrics, settings.metrics_address}};
        for (const auto& [acceptor, address] : listeners) {
            if (address.port == 0) {
                continue;
            }
            if (const error_code error = bind_and_listen(*acceptor, address)) {
                return tl::unexpected(format_address(address) + ": " + error.message());
            }
        }
        if (const error_code error = this->gossip.open()) {
            return tl::unexpected(format_address(settings.gossip_address) + ": " + error.message());
        }
        return {};
    }

    void start() {
        this->spawn(accept_callers(this->core, this->callers));
        this->serve_small(this->ready, answer_readiness_check);
        this->serve_small(this->directory, answer_lookup);
        this->serve_small(this->metrics, answer_metrics);
        this->spawn(serve_store_sync(this->core, this->peers));
        this->spawn(pull_store_changes(this->core));
        this->spawn(this->gossip.send_loop());
        this->spawn(this->gossip.receive_loop());
        this->spawn(watch_store(this->core, *this->watch_connection));
        this->spawn(maintain_vm_record(this->core, *this->record_connection));
        this->spawn(this->check_deadlines());
        this->spawn(this->keep_house());
        this->spawn(this->flush_log());
        this->spawn(this->await_signals());
    }

private:
    void spawn(asio::awaitable<void> part) {
        asio::co_spawn(this->core.context, std::move(part), [this](const std::exception_ptr& failure) {
            if (failure) {
                log_exception(this->core, "a part has ended", failure);
            }
        });
    }

    template <class Answer> void serve_small(tcp::acceptor& acceptor, Answer answer) {
        if (acceptor.is_open()) {
            this->spawn(
                serve_simple_requests(this->core, acceptor, [this, answer](const simple_request& request) {
                    return answer(this->core, request);
                }));
        }
    }

    // Checks deadlines, and measures by its own lateness how far the event loop is behind.
    asio::awaitable<void> check_deadlines() {
        for (;;) {
            const instant due = now_of(this->core) + deadline_interval;
            co_await sleep_for(this->core.context, deadline_interval);
            const instant now = now_of(this->core);
            note_loop_delay(this->core, std::chrono::floor<milliseconds>(now - due));
            this->core.deadlines.run_expired(now);
        }
    }

    asio::awaitable<void> keep_house() {
        for (;;) {
            co_await sleep_for(this->core.context, housekeeping_interval);
            const instant now = now_of(this->core);
            this->core.targets.remove_expired(now);
            expire_peers(this->core.peers, now);
            remove_expired_suspects(this->core.crash_quarantine, now);
            std::erase_if(this->core.failed_requests_by_target, [this](const auto& entry) {
                return this->core.targets.all().count(entry.first) == 0;
            });
            std::erase_if(this->core.crash_reports, [now](const auto& entry) { return entry.second <= now; });
            for (const auto& [id, target] : this->core.targets.all()) {
                close_idle_connections(*target, now);
            }
            clear_silent_peer_loads(this->core);
            update_region_shares(this->core, housekeeping_interval);
        }
    }

    asio::awaitable<void> flush_log() {
        for (;;) {
            this->core.log.flush();
            co_await sleep_for(this->core.context, log_flush_interval);
        }
    }

    asio::awaitable<void> await_signals() {
        for (;;) {
            error_code error;
            const int signal = co_await this->signals.async_wait(capture_error(error));
            if (signal != SIGHUP) {
                break;
            }
            this->core.log.write(now_of(this->core), node_event::settings_reloaded, log_fields());
        }
        co_await this->stop();
    }

    // A planned stop: leave the look-ups, finish what comes meanwhile, refuse what comes late, end.
    asio::awaitable<void> stop() {
        const instant begun = now_of(this->core);
        const milliseconds grace = this->core.settings.stop_grace;
        this->core.phase = node_phase::stop_announced;
        this->gossip.announce();
        this->core.log.write(begun, node_event::stopping,
                             log_fields().add("in_progress", this->core.requests_in_progress));
        co_await sleep_for(this->core.context,
                           std::min<milliseconds>(longest_accepting, grace / accepting_divisor));
        this->core.phase = node_phase::draining;
        error_code ignored;
        this->callers.close(ignored);
        while (this->core.requests_in_progress > 0 && now_of(this->core) - begun < grace - stop_reserve) {
            co_await sleep_for(this->core.context, stop_check);
        }
        // Answers that were just written leave with the process's sockets.
        co_await sleep_for(this->core.context, stop_check);
        this->core.log.write(now_of(this->core), node_event::stopped,
                             log_fields().add("in_progress", this->core.requests_in_progress));
        this->core.log.flush();
        this->core.context.stop();
    }

    node_core& core;
    tcp::acceptor callers;
    tcp::acceptor ready;
    tcp::acceptor directory;
    tcp::acceptor peers;
    tcp::acceptor metrics;
    gossip_socket gossip;
    std::unique_ptr<metadata_store> watch_connection;
    std::unique_ptr<metadata_store> record_connection;
    asio::signal_set signals;
};

} // namespace

tl::expected<void, std::string> run_node(const clock& time, const node_settings& settings,
                                         const platform_adapter& platform, const store_factory& make_store,
                                         node_log& log) {
    std::signal(SIGPIPE, SIG_IGN);
    node_core core(time, settings, platform, log);
    core.started_ms = static_cast<std::uint64_t>(unix_milliseconds());
    running_node node(core, make_store);
    if (auto opened = node.open(); !opened) {
        return opened;
    }
    log.write(now_of(core), node_event::started,
              log_fields()
                  .add("callers", format_address(settings.caller_address))
                  .add("zone", settings.availability_zone)
                  .add("region", settings.region));
    node.start();
    core.context.run();
    core.targets.close_idle_connections();
    return {};
}

} // namespace cassiaspan
