// Counts what is in progress.
#pragma once

#include <cstddef>

namespace cassiaspan {

// Increments a counter for its lifetime, also if an exception ends it.
class scoped_count {
public:
    explicit scoped_count(std::size_t& counter_in) : counter(counter_in) { ++this->counter; }
    ~scoped_count() { --this->counter; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;
    scoped_count(scoped_count&&) = delete;
    scoped_count& operator=(scoped_count&&) = delete;

private:
    std::size_t& counter;
};

} // namespace cassiaspan
