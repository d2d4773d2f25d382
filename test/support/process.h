// A process that a test starts, and ends by its id.
#pragma once

#include "clock.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cassiaspan::test {

// Killed when the object goes, unless it has ended.
class process {
public:
    process() = default;
    // Starts a program; its output goes to `log_file`.
    process(const std::vector<std::string>& words, const std::string& log_file);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    // Sends a signal.
    void send(int signal) const;
    void kill();
    void freeze() const;
    void wake() const;
    // Waits for the end. Returns the exit code, nothing after the time-out or when a signal ended it.
    std::optional<int> wait(milliseconds timeout);
    [[nodiscard]] pid_t id() const { return this->pid; }
    [[nodiscard]] bool is_running() const { return this->pid > 0; }

private:
    pid_t pid = 0;
};

} // namespace cassiaspan::test
