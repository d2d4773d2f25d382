// Keeps this VM current through its peers: pulls, fetches newer generations, and tells peers of them at once.
#pragma once

#include "bounded_ring.h"
#include "node_state.h"
#include "overlay.h"
#include "peer_channel.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <variant>

namespace cassiaspan {

// How often and whom to ask.
struct overlay_options {
    milliseconds pull_interval{};
    std::size_t degree = 0;
    nanoseconds freshness{};
};

// Runs on a thread of its own.
class overlay_duty {
public:
    overlay_duty(overlay_options options_in, node_state& node_in, peer_caller& peers_in,
                 const clock& clock_in);
    ~overlay_duty();
    overlay_duty(const overlay_duty&) = delete;
    overlay_duty& operator=(const overlay_duty&) = delete;
    overlay_duty(overlay_duty&&) = delete;
    overlay_duty& operator=(overlay_duty&&) = delete;

    // Tells that the peer holds a newer generation.
    void note_newer(const std::string& peer_address);
    // Called on the duty's thread about ten times a second.
    void on_tick(std::function<void()> action) { this->tick_action = std::move(action); }
    // Starts the thread.
    void start();
    // Ends the thread.
    void stop();

private:
    struct pull_done {
        std::string peer_address;
        instant asked;
        schema::PullReply reply;
    };
    struct fetch_done {
        schema::Head head;
        std::string name;
        instant read;
        std::string value;
    };
    struct pull_wanted {
        std::string peer_address;
    };
    struct generation_adopted {
        std::uint64_t generation = 0;
    };
    struct call_failed {
        std::string peer_address;
    };
    using event = std::variant<pull_done, fetch_done, pull_wanted, generation_adopted, call_failed>;

    void run();
    void handle(pull_done& done);
    void handle(fetch_done& done);
    void handle(pull_wanted& wanted);
    void handle(generation_adopted& adopted);
    void handle(call_failed& failed);
    void pull_due_peers();
    void pull(const std::string& peer_address);
    void fetch(const std::string& peer_address, std::uint64_t incarnation, const std::string& name,
               const schema::Head& head, instant read);
    [[nodiscard]] std::vector<std::string> peer_addresses() const;
    [[nodiscard]] bool lacks_proof() const;
    [[nodiscard]] std::string freshest_peer() const;
    void post(event item);

    overlay_options options;
    node_state& node;
    peer_caller& peers;
    const clock& time;
    bounded_ring<event> events{4096};
    std::map<std::string, instant> last_pulls;
    // When the store confirmed what each peer last told.
    std::map<std::string, instant> peer_proofs;
    std::map<std::string, bool> pulling;
    std::function<void()> tick_action;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace cassiaspan
