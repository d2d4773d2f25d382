#include "watchdog.h"

#include "socket_finder.h"

#include <sys/socket.h>

namespace cassiaspan {

namespace {

constexpr milliseconds scan_interval{20};

} // namespace

watchdog::guarded_socket::~guarded_socket() {
    if (this->owner_dog != nullptr) {
        this->owner_dog->remove(this->watch_id);
    }
}

bool watchdog::guarded_socket::finish() const {
    return this->owner_dog->remove(this->watch_id);
}

watchdog::watchdog(const clock& clock_in) : time(clock_in), thread([this] { this->run(); }) {}

watchdog::~watchdog() {
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->thread.join();
}

watchdog::guarded_socket watchdog::watch(int socket, instant deadline, int companion) {
    const std::scoped_lock lock(this->mutex);
    const std::uint64_t id = this->next_id++;
    this->entries[id] = {socket, companion, deadline, false};
    return {*this, id};
}

bool watchdog::remove(std::uint64_t id) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    const bool whole = !found->second.cut;
    this->entries.erase(found);
    return whole;
}

void watchdog::run() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        // Requests do not wake this thread: that would cost each of them more than the scans cost in all.
        this->wake.wait_for(lock, scan_interval);
        this->cut_expired();
    }
}

// Runs under the lock: an entry is removed before its socket is closed, so the number is still the same
// socket's.
void watchdog::cut_expired() {
    const instant now = this->time.now();
    for (auto& [id, watched] : this->entries) {
        const bool hung_up = watched.companion >= 0 && is_hung_up(watched.companion);
        if (!watched.cut && watched.socket >= 0 && (hung_up || watched.deadline <= now)) {
            watched.cut = true;
            shutdown(watched.socket, SHUT_RDWR);
        }
    }
}

} // namespace cassiaspan
