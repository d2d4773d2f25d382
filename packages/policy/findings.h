// Validation findings, each with the path of the field, collected and reported together.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace cassiaspan {

// One problem and the path of the field that has it, such as workspaces[2].keys[0].sha256.
struct finding {
    std::string path;
    std::string text;
    auto operator<=>(const finding&) const = default;
};

using findings = std::vector<finding>;

// Returns one finding for all of them: the path of the first, and the texts of all. `list` must not be empty.
[[nodiscard]] finding summarize(const findings& list);

// Returns the findings as text, one per line in the form "source: path: text". `source` is the name of the
// file or other source.
[[nodiscard]] std::string render(const findings& list, const std::string& source);

} // namespace cassiaspan
