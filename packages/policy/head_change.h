// The head record of the store: its key, and how a change produces the next generation. The head names the
// current configuration and member lists.
#pragma once

#include "head.pb.h"

#include <string>

namespace cassiaspan {

// Keys in the store. A configuration is stored under the prefix followed by its content hash.
constexpr const char* head_key = "head";
constexpr const char* configuration_key_prefix = "configuration/";

// Operator name in the history for changes that the system makes by itself.
constexpr const char* system_operator_name = "cassiaspan";

// Description of a change in the history.
struct change_description {
    std::string change_id;
    std::string operator_name;
    std::string summary;
    auto operator<=>(const change_description&) const = default;
};

// Returns a copy of the head with the next generation number and the change added to its history. The oldest
// entries beyond 64 are removed.
[[nodiscard]] schema::Head next_generation(const schema::Head& head, const change_description& change);

} // namespace cassiaspan
