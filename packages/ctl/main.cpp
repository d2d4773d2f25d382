// cassiactl: the operators' command.

#include "commands.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const auto options = cassiaspan::read_ctl_options({argv + 1, argv + argc});
    if (!options) {
        std::cerr << cassiaspan::render(options.error(), "settings");
        return static_cast<int>(cassiaspan::exit_code::invalid);
    }
    if (options->help) {
        std::cout << cassiaspan::ctl_help();
        return 0;
    }
    return static_cast<int>(cassiaspan::run_command(*options, std::cout, std::cerr));
}
