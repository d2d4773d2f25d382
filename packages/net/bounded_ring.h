// A bounded queue between two threads. A full ring refuses; it never grows and never blocks the sender.
#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace cassiaspan {

template <class T> class bounded_ring {
public:
    // Makes an empty ring that holds up to `capacity` items.
    explicit bounded_ring(std::size_t capacity) : items(capacity) {}

    // Adds an item; false when the ring is full.
    [[nodiscard]] bool push(T item) {
        const std::scoped_lock lock(this->mutex);
        if (this->items.full()) {
            return false;
        }
        this->items.push_back(std::move(item));
        this->filled.notify_one();
        return true;
    }

    // Takes the oldest item, if there is one.
    [[nodiscard]] std::optional<T> try_pop() {
        const std::scoped_lock lock(this->mutex);
        return this->pop_front();
    }

    // Takes the oldest item, waiting for one for up to `timeout`.
    template <class Duration> [[nodiscard]] std::optional<T> pop(Duration timeout) {
        std::unique_lock lock(this->mutex);
        this->filled.wait_for(lock, timeout, [this] { return !this->items.empty(); });
        return this->pop_front();
    }

private:
    std::optional<T> pop_front() {
        if (this->items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

    std::mutex mutex;
    std::condition_variable filled;
    boost::circular_buffer<T> items;
};

} // namespace cassiaspan
