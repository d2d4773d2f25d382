#include "process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace cassiaspan::test {

process::process(const std::vector<std::string>& words, const std::string& log_file) {
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (const std::string& word : words) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    this->pid = fork();
    if (this->pid == 0) {
        // A test that is killed leaves nothing behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
}

process::process(process&& other) noexcept : pid(std::exchange(other.pid, 0)) {}

process& process::operator=(process&& other) noexcept {
    std::swap(this->pid, other.pid);
    return *this;
}

process::~process() {
    this->kill();
}

void process::send(int signal) const {
    if (this->pid > 0) {
        ::kill(this->pid, signal);
    }
}

void process::kill() {
    this->send(SIGKILL);
    this->wait(milliseconds{5000});
}

void process::freeze() const {
    this->send(SIGSTOP);
}

void process::wake() const {
    this->send(SIGCONT);
}

std::optional<int> process::wait(milliseconds timeout) {
    const boot_clock time;
    const instant deadline = time.now() + timeout;
    while (this->pid > 0) {
        int status = 0;
        if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = 0;
            return WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
        }
        if (time.now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return std::nullopt;
}

} // namespace cassiaspan::test
