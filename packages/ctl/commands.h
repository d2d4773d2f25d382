// The commands of cassiactl.
#pragma once

#include "ctl_options.h"

#include <iosfwd>

namespace cassiaspan {

// Runs the command, writes what it has to say, and returns how it ended.
[[nodiscard]] exit_code run_command(const ctl_options& options, std::ostream& out, std::ostream& error);

} // namespace cassiaspan
