// Keeps this VM in touch with the platform. A relay, one VM of each region by lease, watches the head and
// reads the list of VMs; the other VMs call the store only when their peers have no fresh proof for them.
#pragma once

#include "members_duty.h"
#include "node_state.h"
#include "store_client.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cassiaspan {

// How the duty behaves.
struct store_duty_options {
    nanoseconds freshness{};
    milliseconds watch_wait{};
    milliseconds lease_ttl{};
    milliseconds vm_list_interval{};
};

// Things that happen on the way, for the log.
enum class store_event { relay_taken, relay_lost, call_failed, configuration_invalid, members_changed };

// Runs on a thread of its own.
class store_duty {
public:
    using event_handler = std::function<void(store_event, const std::string&)>;

    store_duty(store_duty_options options_in, store_client& store_in, node_state& node_in,
               members_duty& members_in, const clock& clock_in, event_handler on_event_in);
    ~store_duty();
    store_duty(const store_duty&) = delete;
    store_duty& operator=(const store_duty&) = delete;
    store_duty(store_duty&&) = delete;
    store_duty& operator=(store_duty&&) = delete;

    // Starts the thread.
    void start();
    // Ends the thread.
    void stop();
    // The newest lists_generation that this VM has handed its records over for.
    void set_handed_over(std::uint64_t generation) { this->handed_over = generation; }

private:
    void run();
    void sleep(nanoseconds time_out);
    void work_as_relay();
    void work_as_member();
    [[nodiscard]] bool needs_proof() const;
    [[nodiscard]] bool region_has_relay() const;
    void hold_relay_lease();
    void hold_members_lease();
    void read_head();
    void watch_head();
    void take_head(const stored_value& stored, instant asked);
    void adopt(const schema::Head& head);
    void read_vm_list();
    void step_members();
    void note_failure(const std::string& call);

    store_duty_options options;
    store_client& store;
    node_state& node;
    members_duty& members;
    const clock& time;
    event_handler on_event;
    std::string lease_owner;
    std::uint64_t head_revision = 0;
    std::uint64_t head_generation = 0;
    bool relay = false;
    bool holds_members = false;
    instant relay_checked;
    instant members_checked;
    instant vm_list_checked;
    instant direct_checked;
    std::atomic<std::uint64_t> handed_over{0};
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace cassiaspan
