#include "records_duty.h"

namespace cassiaspan {

namespace {

constexpr milliseconds look_interval{200};

} // namespace

records_duty::records_duty(record_home& records_in, node_state& node_in, nanoseconds patience_in,
                           const clock& clock_in, std::function<void(std::uint64_t)> on_done_in)
    : records(records_in), node(node_in), on_done(std::move(on_done_in)), patience(patience_in),
      time(clock_in) {}

records_duty::~records_duty() {
    this->stop();
}

void records_duty::stop() {
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void records_duty::start() {
    this->thread = std::thread([this] { this->run(); });
}

void records_duty::run() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->wake.wait_for(lock, look_interval, [this] { return this->stopping; });
        lock.unlock();
        const auto generation = this->node.current();
        if (generation && generation->head.lists_generation() > this->handed_over) {
            this->hand_over(*generation);
        }
        this->records.expire();
        lock.lock();
    }
}

void records_duty::hand_over(const generation_view& generation) {
    const std::uint64_t lists_generation = generation.head.lists_generation();
    if (this->tried_generation != lists_generation) {
        this->tried_generation = lists_generation;
        this->tried_since = this->time.now();
    }
    const bool pass_over_silent = this->time.now() - this->tried_since > this->patience;
    if (this->records.hand_over(generation, pass_over_silent)) {
        this->handed_over = lists_generation;
        this->on_done(lists_generation);
    }
}

} // namespace cassiaspan
