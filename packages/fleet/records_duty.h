// Hands idempotency records over to their new homes after each change of the member list, and forgets old
// ones.
#pragma once

#include "node_state.h"
#include "record_home.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cassiaspan {

// Runs on a thread of its own.
class records_duty {
public:
    // `on_done` is called with Head.lists_generation when everything has been handed over for it.

    // Homes that stay silent for `patience` are passed over.
    records_duty(record_home& records_in, node_state& node_in, nanoseconds patience_in, const clock& clock_in,
                 std::function<void(std::uint64_t)> on_done_in);
    ~records_duty();
    records_duty(const records_duty&) = delete;
    records_duty& operator=(const records_duty&) = delete;
    records_duty(records_duty&&) = delete;
    records_duty& operator=(records_duty&&) = delete;

    // Starts the thread.
    void start();
    // Ends the thread.
    void stop();

private:
    void run();
    void hand_over(const generation_view& generation);

    record_home& records;
    node_state& node;
    std::function<void(std::uint64_t)> on_done;

    nanoseconds patience;
    const clock& time;
    std::uint64_t handed_over = 0;
    std::uint64_t tried_generation = 0;
    instant tried_since;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace cassiaspan
