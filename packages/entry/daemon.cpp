#include "daemon.h"

#include "admin_page.h"
#include "budget_duty.h"
#include "caller_service.h"
#include "config_check.h"
#include "digest.h"
#include "event_log.h"
#include "overlay_duty.h"
#include "peer_answers.h"
#include "peer_channel.h"
#include "records_duty.h"
#include "store_duty.h"

#include <algorithm>
#include <civetweb.h>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace cassiaspan {

namespace {

constexpr milliseconds stop_poll{50};

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::uint64_t draw_random() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

schema::Member make_self(const schema::Settings& settings) {
    schema::Member self;
    self.set_vm(settings.vm());
    self.set_incarnation(draw_random());
    self.set_region(settings.region());
    self.set_availability_zone(settings.availability_zone());
    self.set_peer_address(settings.peer_address());
    return self;
}

// The address to bind, where it is not the one that other VMs use.
const std::string& peer_listen_address(const schema::Settings& settings) {
    return settings.peer_listen_address().empty() ? settings.peer_address() : settings.peer_listen_address();
}

severity parse_severity(const std::string& text) {
    if (text == "debug") {
        return severity::debug;
    }
    if (text == "warning") {
        return severity::warning;
    }
    return text == "error" ? severity::error : severity::info;
}

void log_store_event(store_event event, const std::string& text) {
    switch (event) {
    case store_event::relay_taken:
        log_event(schema::EVENT_RELAY_TAKEN, severity::info, "", "region=" + text);
        break;
    case store_event::relay_lost:
        log_event(schema::EVENT_RELAY_LOST, severity::info, "", "region=" + text);
        break;
    case store_event::call_failed:
        log_event(schema::EVENT_STORE_FAILED, severity::warning, "", text);
        break;
    case store_event::configuration_invalid:
        log_event(schema::EVENT_CONFIGURATION_INVALID, severity::error, "", "configuration=" + text);
        break;
    case store_event::members_changed:
        log_event(schema::EVENT_MEMBERS_CHANGED, severity::info, "", text);
        break;
    }
}

// All parts of a running daemon, in the order in which they are made; they end in the opposite order.
class daemon {
public:
    daemon(const schema::Settings& settings_in, std::string secret_in)
        : settings(settings_in), secret(std::move(secret_in)) {}

    tl::expected<void, std::string> start_standalone(const std::string& json);
    tl::expected<void, std::string> start_in_fleet();
    stop_result stop();
    void stop_duties();

private:
    tl::expected<void, std::string> listen();
    tl::expected<void, std::string> listen_to_peers();
    void make_duties();
    void start_duties();
    void follow_generations();
    void watch_licence();
    void share_loads();
    [[nodiscard]] bool is_named() const;
    [[nodiscard]] bool may_stop(instant leaving_since);
    void fill_counts(schema::Status& status);

    schema::Settings settings;
    std::string secret;
    boot_clock time;
    watchdog guard{time};
    node_state node{make_self(settings), milliseconds{settings.freshness_ms()}, time};
    budget_book budgets{node.self().incarnation(), time};
    target_registry targets{
        {settings.region(), settings.availability_zone()},
        {static_cast<std::size_t>(settings.queue_length()), milliseconds{settings.queue_wait_ms()}},
        draw_random(),
        time};
    std::unique_ptr<peer_client> client =
        peer_client::start(parse_address(peer_listen_address(settings)).value().host, time);
    peer_caller peers{*client, secret, node.self(), milliseconds{settings.peer_timeout_ms()}};
    record_home records{node, peers, time};
    quarantine_board quarantines{node, peers, time};
    service_metrics metrics{time};
    caller_service callers{{settings, node, budgets, targets, records, quarantines, metrics, guard, time},
                           draw_random()};
    admin_parts admin_view{node,    budgets, targets,
                           metrics, time,    [this](schema::Status& status) { this->fill_counts(status); }};
    peer_parts peer_view{node,
                         budgets,
                         records,
                         quarantines,
                         milliseconds{settings.loan_ms()},
                         [this](const std::string& peer) { this->overlay_thread->note_newer(peer); }};
    peer_gate gate{secret, node.self().incarnation(), [this](const schema::PeerRequest& request) {
                       return answer_peer(this->peer_view, request);
                   }};
    std::optional<store_client> store;
    std::optional<members_duty> members;
    std::optional<store_duty> store_thread;
    std::optional<overlay_duty> overlay_thread;
    std::optional<budget_duty> budget_thread;
    std::optional<records_duty> records_thread;
    std::unique_ptr<peer_server> peer_listener;
    std::unique_ptr<http_server> admin_listener;
    std::unique_ptr<http_server> caller_listener;
    bool licensed = false;
};

void daemon::follow_generations() {
    const bool standalone = !this->settings.standalone().empty();
    this->node.on_generation([this, standalone](const generation_view& generation) {
        // The newest generation counts, whichever of two threads comes here first.
        const auto present = this->node.current();
        this->budgets.apply(*present, standalone);
        this->targets.apply(*present);
        log_event(schema::EVENT_GENERATION_ADOPTED, severity::info, "",
                  "generation=" + std::to_string(generation.head.generation()));
    });
}

tl::expected<void, std::string> daemon::start_standalone(const std::string& json) {
    const auto configuration = parse_configuration(json);
    if (!configuration) {
        return tl::make_unexpected(render(configuration.error(), this->settings.standalone()));
    }
    schema::Head head;
    head.set_generation(1);
    head.set_lists_generation(1);
    const std::string body = configuration->SerializeAsString();
    head.set_configuration_name(sha256_hex(body));
    *head.add_lists()->add_members() = this->node.self();
    this->follow_generations();
    this->node.adopt_generation(make_generation(head, body));
    this->node.note_store({1, this->time.now()});
    static_cast<void>(this->node.verdict());
    schema::VmList list;
    auto* vm = list.add_vms();
    vm->set_name(this->settings.vm());
    vm->set_region(this->settings.region());
    vm->set_availability_zone(this->settings.availability_zone());
    vm->set_caller_address(this->settings.caller_address());
    this->node.note_vm_list(list, this->time.now());
    return this->listen();
}

tl::expected<void, std::string> daemon::start_in_fleet() {
    this->follow_generations();
    // Peers may send messages as soon as they can connect, so the duties are there by then.
    this->make_duties();
    return this->listen_to_peers().and_then([this] {
        this->start_duties();
        return this->listen();
    });
}

tl::expected<void, std::string> daemon::listen_to_peers() {
    auto started = peer_server::start(parse_address(peer_listen_address(this->settings)).value(),
                                      [this](const peer_message& message) {
                                          auto reply = this->gate.answer(message);
                                          if (!reply) {
                                              log_event(schema::EVENT_PEER_REFUSED, severity::warning, "",
                                                        "refused=" + std::to_string(this->gate.refused()));
                                          }
                                          return reply;
                                      });
    if (!started) {
        return tl::make_unexpected(started.error());
    }
    this->peer_listener = std::move(*started);
    return {};
}

void daemon::make_duties() {
    const schema::Settings& set = this->settings;
    const nanoseconds freshness = milliseconds{set.freshness_ms()};
    this->store.emplace(store_options{parse_address(set.store_address()).value(),
                                      parse_address(set.vm_list_address()).value(),
                                      milliseconds{set.store_timeout_ms()}, set.store_calls_per_second(),
                                      draw_random()},
                        this->guard, this->time);
    this->members.emplace(members_options{freshness, milliseconds{set.loan_ms()},
                                          milliseconds{set.vm_list_lag_ms()},
                                          static_cast<std::size_t>(set.member_limit())},
                          this->node, this->time);
    this->store_thread.emplace(store_duty_options{freshness, milliseconds{set.watch_wait_ms()},
                                                  milliseconds{set.lease_ttl_ms()},
                                                  milliseconds{set.vm_list_interval_ms()}},
                               *this->store, this->node, *this->members, this->time, log_store_event);
    this->overlay_thread.emplace(overlay_options{milliseconds{set.pull_interval_ms()},
                                                 static_cast<std::size_t>(set.overlay_degree()), freshness},
                                 this->node, this->peers, this->time);
    this->budget_thread.emplace(milliseconds{set.loan_ms()}, this->budgets, this->node, this->peers,
                                this->time);
    this->records_thread.emplace(this->records, this->node, 4 * freshness, this->time,
                                 [this](std::uint64_t generation) {
                                     this->node.set_handed_over(generation);
                                     this->store_thread->set_handed_over(generation);
                                 });
    this->overlay_thread->on_tick([this] {
        this->share_loads();
        this->watch_licence();
    });
}

void daemon::start_duties() {
    this->store_thread->start();
    this->overlay_thread->start();
    this->budget_thread->start();
    this->records_thread->start();
}

tl::expected<void, std::string> daemon::listen() {
    const schema::Settings& set = this->settings;
    const auto bytes = static_cast<std::size_t>(set.max_header_bytes());
    const http_server_options admin_options{parse_address(set.admin_address()).value(),
                                            static_cast<std::size_t>(set.admin_worker_count()),
                                            milliseconds{set.idle_timeout_ms()}, bytes, ""};
    auto admin = http_server::start(
        admin_options,
        [this](http_server& /*server*/, mg_connection* connection, const mg_request_info& info) {
            return serve_admin(this->admin_view, connection, info);
        },
        this->time);
    if (!admin) {
        return tl::make_unexpected(admin.error());
    }
    this->admin_listener = std::move(*admin);
    const http_server_options caller_options{
        parse_address(set.caller_address()).value(), static_cast<std::size_t>(set.worker_count()),
        milliseconds{set.idle_timeout_ms()}, bytes, set.tls_certificate_file()};
    auto caller = http_server::start(
        caller_options,
        [this](http_server& server, mg_connection* connection, const mg_request_info& info) {
            return this->callers.serve(connection, info, server);
        },
        this->time);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    this->caller_listener = std::move(*caller);
    log_event(schema::EVENT_STARTED, severity::info, "",
              "callers=" + set.caller_address() +
                  " incarnation=" + std::to_string(this->node.self().incarnation()));
    return {};
}

void daemon::share_loads() {
    this->node.set_target_loads(this->targets.loads());
    this->targets.note_peers(this->node.peers());
}

void daemon::watch_licence() {
    const freshness_status verdict = this->node.verdict();
    const bool now_licensed = allows_authenticated_requests(verdict);
    if (now_licensed != this->licensed) {
        this->licensed = now_licensed;
        log_event(now_licensed ? schema::EVENT_LICENSED : schema::EVENT_UNLICENSED,
                  now_licensed ? severity::info : severity::warning, "", std::string(to_string(verdict)));
    }
}

void daemon::fill_counts(schema::Status& status) {
    if (this->store) {
        status.set_store_calls(this->store->calls());
    }
    byte_counts counts = this->client->bytes();
    if (this->peer_listener) {
        counts.sent += this->peer_listener->bytes().sent;
        counts.received += this->peer_listener->bytes().received;
    }
    status.set_control_bytes_sent(counts.sent);
    status.set_control_bytes_received(counts.received);
}

bool daemon::is_named() const {
    const auto generation = this->node.current();
    if (!generation || !this->store) {
        return false;
    }
    for (const auto& list : generation->electorates) {
        if (std::find(list.begin(), list.end(), this->node.self().incarnation()) != list.end()) {
            return true;
        }
    }
    return false;
}

// While callers may still know it, the VM serves whoever comes; then it refuses, and stops when nothing is in
// flight and no member list names it any more.
bool daemon::may_stop(instant leaving_since) {
    const bool unknown_to_callers =
        this->time.now() - leaving_since >= milliseconds{this->settings.drain_grace_ms()};
    if (unknown_to_callers) {
        this->callers.refuse_new();
    }
    return unknown_to_callers && this->callers.in_flight() == 0 && !this->is_named();
}

stop_result daemon::stop() {
    log_event(schema::EVENT_STOPPING, severity::info, "", "");
    const instant leaving_since = this->time.now();
    this->node.set_leaving();
    const instant deadline = leaving_since + milliseconds{this->settings.stop_timeout_ms()};
    while (!this->may_stop(leaving_since) && this->time.now() < deadline) {
        std::this_thread::sleep_for(stop_poll);
    }
    const bool clean = this->callers.in_flight() == 0;
    this->caller_listener.reset();
    log_event(clean ? schema::EVENT_STOPPED : schema::EVENT_STOP_TIMED_OUT,
              clean ? severity::info : severity::error, "",
              "served=" + std::to_string(this->callers.served()));
    this->admin_listener.reset();
    this->peer_listener.reset();
    this->stop_duties();
    return clean ? stop_result::clean : stop_result::timed_out;
}

// Threads first, then the client, whose last answers still reach the objects of the threads.
void daemon::stop_duties() {
    if (this->store) {
        this->records_thread->stop();
        this->budget_thread->stop();
        this->overlay_thread->stop();
        this->store_thread->stop();
    }
    this->client.reset();
}

} // namespace

tl::expected<stop_result, std::string> run_daemon(const schema::Settings& settings,
                                                  const std::function<void()>& wait_for_stop) {
    const bool standalone = !settings.standalone().empty();
    const auto text = read_file(standalone ? settings.standalone() : settings.peer_secret_file());
    if (!text || text->empty()) {
        return tl::make_unexpected("cannot read \"" +
                                   (standalone ? settings.standalone() : settings.peer_secret_file()) +
                                   "\", or it is empty");
    }
    start_log({settings.vm(), settings.log_format() == "json", parse_severity(settings.log_level())});
    auto running = std::make_unique<daemon>(settings, standalone ? "" : *text);
    const auto started = standalone ? running->start_standalone(*text) : running->start_in_fleet();
    if (!started) {
        running->stop_duties();
        running.reset();
        stop_log();
        return tl::make_unexpected(started.error());
    }
    wait_for_stop();
    const stop_result result = running->stop();
    running.reset();
    stop_log();
    return result;
}

} // namespace cassiaspan
