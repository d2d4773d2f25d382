// Checks a configuration: parses its JSON and collects everything that is wrong with it.
#pragma once

#include "config.pb.h"
#include "findings.h"

#include <string>
#include <tl/expected.hpp>

namespace cassiaspan {

// Parses the protobuf JSON form of a configuration and checks it. The error lists every finding.
[[nodiscard]] tl::expected<schema::Configuration, findings> parse_configuration(const std::string& json);

// Returns everything that is wrong with a configuration; empty when it may be applied.
[[nodiscard]] findings check_configuration(const schema::Configuration& configuration);

} // namespace cassiaspan
