// Parses and validates configurations. Reports all problems, not only the first.
#pragma once

#include "config.pb.h"
#include "findings.h"

#include <string>
#include <tl/expected.hpp>

namespace cassiaspan {

// Parses the protobuf JSON form of a configuration and validates it. The error has one finding with the path
// "document" if the JSON cannot be parsed, or else all findings.
[[nodiscard]] tl::expected<schema::Configuration, findings> parse_configuration(const std::string& json);

// Returns all problems of a configuration; empty if it may be applied.
[[nodiscard]] findings check_configuration(const schema::Configuration& configuration);

} // namespace cassiaspan
