// The targets of all services as this VM sees them: loads, slots, the queue before the slots, kept
// connections.
#pragma once

#include "fair_queue.h"
#include "http_client.h"
#include "node_state.h"
#include "targets.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// How a request at a target ended, as far as the target's health is concerned.
enum class target_outcome { success, failure, neutral };

// A slot at a target, taken until it is released.
struct target_slot {
    std::string service;
    std::string target;
    std::string address;
    std::shared_ptr<connection_pool> pool;
};

// Who asks for a slot, and for how long.
struct slot_request {
    std::string service;
    std::string workspace;
    std::size_t weight = 1;
    instant deadline;
    // Names of targets not to use again.
    std::vector<std::string> tried;
};

// Why no slot was given.
enum class slot_refusal { queue_full, timed_out, none_available };

// How requests wait for slots.
struct queue_limits {
    std::size_t length_per_workspace = 0;
    milliseconds longest_wait{};
};

// One row of a status page.
struct target_row {
    std::string target;
    std::size_t in_flight = 0;
    bool ejected = false;
    bool leaving = false;
};

// May be used from any thread.
class target_registry {
public:
    target_registry(location here_in, queue_limits limits_in, std::uint64_t seed, const clock& clock_in);

    // Takes over the services and targets of a generation; targets that stay keep their state.
    void apply(const generation_view& generation);
    // Takes in the loads that peers reported.
    void note_peers(const std::vector<peer_knowledge>& peers);

    // Takes a slot, waiting for one in the workspace's turn.
    [[nodiscard]] tl::expected<target_slot, slot_refusal> acquire(const slot_request& request);
    // Gives a slot back; returns whether the target was ejected for its failures.
    bool release(const target_slot& slot, target_outcome outcome);

    // Returns this VM's requests at each target that has some, and the ejected targets.
    [[nodiscard]] std::vector<schema::TargetLoad> loads() const;
    [[nodiscard]] std::vector<target_row> rows() const;

private:
    struct service_state {
        std::shared_ptr<const config_snapshot> configuration;
        const service_config* view = nullptr;
        std::vector<target_state> targets;
        std::vector<std::shared_ptr<connection_pool>> pools;
        fair_queue queue;
    };

    [[nodiscard]] static std::vector<std::size_t> indices_of(const service_state& service,
                                                             const std::vector<std::string>& names);
    [[nodiscard]] target_choice choose(const service_state& service, const slot_request& request);
    [[nodiscard]] target_slot take(service_state& service, std::size_t index, const std::string& name) const;
    [[nodiscard]] tl::expected<target_slot, slot_refusal> wait_for_slot(std::unique_lock<std::mutex>& lock,
                                                                        const slot_request& request);

    location here;
    queue_limits limits;
    const clock& time;
    mutable std::mutex mutex;
    std::condition_variable freed;
    random_engine random;
    std::map<std::string, service_state> services;
};

} // namespace cassiaspan
