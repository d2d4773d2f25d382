// The head record: where it stands in the store, and how a change moves it to the next generation.
#pragma once

#include "head.pb.h"

#include <string>

namespace cassiaspan {

// Keys in the store. A configuration stands under the prefix and its content name.
constexpr const char* head_key = "head";
constexpr const char* configuration_key_prefix = "configuration/";

// Who the history names for changes that the system makes itself.
constexpr const char* system_operator_name = "cassiaspan";

// What the history says of a change.
struct change_description {
    std::string change_id;
    std::string operator_name;
    std::string summary;
    auto operator<=>(const change_description&) const = default;
};

// Returns the head at its next generation, with the change in its history; the oldest entries fall out.
[[nodiscard]] schema::Head next_generation(const schema::Head& head, const change_description& label);

} // namespace cassiaspan
