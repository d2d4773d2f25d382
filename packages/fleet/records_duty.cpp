#include "records_duty.h"

namespace cassiaspan {

namespace {

constexpr milliseconds look_interval{200};

} // namespace

records_duty::records_duty(record_home& records_in, node_state& node_in,
                           std::function<void(std::uint64_t)> on_done_in)
    : records(records_in), node(node_in), on_done(std::move(on_done_in)) {}

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
        if (generation && generation->head.lists_generation() > this->handed_over &&
            this->records.hand_over(*generation)) {
            this->handed_over = generation->head.lists_generation();
            this->on_done(this->handed_over);
        }
        this->records.expire();
        lock.lock();
    }
}

} // namespace cassiaspan
