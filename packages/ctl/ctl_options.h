// The command line of cassiactl.
#pragma once

#include "clock.h"
#include "findings.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// Exit codes, for scripts.
enum class exit_code { accepted = 0, failed = 1, invalid = 2, pending = 3, conflict = 4 };

// What the operator asked for.
struct ctl_options {
    std::string store_address;
    std::string vm_list_address;
    std::string operator_name;
    // Generation that the change is meant for; 0 for the present one.
    std::uint64_t base = 0;
    // How long to wait for acceptance.
    milliseconds wait{};
    bool json = false;
    bool help = false;
    // The command and its words, such as {"key", "add", "fisler", "k2"}.
    std::vector<std::string> words;
};

// Reads the command line and CASSIASPAN_* environment variables; a flag goes before its variable.
[[nodiscard]] tl::expected<ctl_options, findings> read_ctl_options(const std::vector<std::string>& arguments);

// Returns the text of --help.
[[nodiscard]] std::string ctl_help();

} // namespace cassiaspan
