// Reads the daemon's settings from flags and environment variables, as the schema describes them.
#pragma once

#include "findings.h"
#include "settings.pb.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// Reads flags and CASSIASPAN_* variables; a flag goes before its variable. The error lists every wrong
// setting.
[[nodiscard]] tl::expected<schema::Settings, findings>
load_settings(const std::vector<std::string>& arguments);

// Returns the text of --help: every setting with its meaning, unit and default.
[[nodiscard]] std::string settings_help();

} // namespace cassiaspan
