// cassiaspan: the daemon on every VM.

#include "daemon.h"
#include "settings_loader.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <pthread.h>

namespace {

constexpr int exit_bad_settings = 2;

// Blocks the stop signals in all threads, so that only the main thread takes them, one at a time. A second
// one changes nothing: it does not cut the stop short.
sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        std::cout << cassiaspan::settings_help();
        return 0;
    }
    const auto settings = cassiaspan::load_settings(arguments);
    if (!settings) {
        std::cerr << cassiaspan::render(settings.error(), "settings");
        return exit_bad_settings;
    }
    const sigset_t signals = block_stop_signals();
    const auto result = cassiaspan::run_daemon(*settings, [&signals] {
        int signal = 0;
        sigwait(&signals, &signal);
    });
    if (!result) {
        std::cerr << result.error() << "\n";
        return exit_bad_settings;
    }
    return *result == cassiaspan::stop_result::clean ? 0 : 1;
}
