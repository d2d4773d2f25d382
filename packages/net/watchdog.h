// Cuts sockets at their deadlines. Blocking library calls then return, so that no thread waits longer than it
// may.
#pragma once

#include "clock.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace cassiaspan {

// Watches sockets from one thread of its own.
class watchdog {
public:
    // A watched socket; watching ends with the object.
    class guarded_socket {
    public:
        guarded_socket(watchdog& owner, std::uint64_t id) : owner_dog(&owner), watch_id(id) {}
        guarded_socket(const guarded_socket&) = delete;
        guarded_socket& operator=(const guarded_socket&) = delete;
        guarded_socket(guarded_socket&& other) noexcept
            : owner_dog(std::exchange(other.owner_dog, nullptr)), watch_id(other.watch_id) {}
        guarded_socket& operator=(guarded_socket&&) = delete;
        ~guarded_socket();
        // Ends the watch. Returns false when the socket was cut.
        [[nodiscard]] bool finish() const;

    private:
        watchdog* owner_dog;
        std::uint64_t watch_id;
    };

    explicit watchdog(const clock& time);
    ~watchdog();
    watchdog(const watchdog&) = delete;
    watchdog& operator=(const watchdog&) = delete;
    watchdog(watchdog&&) = delete;
    watchdog& operator=(watchdog&&) = delete;

    // Cuts `socket` at `deadline`, or as soon as `companion`, the socket of the caller, is hung up. Negative
    // numbers are not watched.
    [[nodiscard]] guarded_socket watch(int socket, instant deadline, int companion = -1);

private:
    struct entry {
        int socket = -1;
        int companion = -1;
        instant deadline;
        bool cut = false;
    };

    void run();
    void cut_expired();
    // Returns whether the watch was there and its socket not cut.
    bool remove(std::uint64_t id);

    const clock& time;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<std::uint64_t, entry> entries;
    std::uint64_t next_id = 1;
    bool stopping = false;
    std::thread thread;
};

} // namespace cassiaspan
