// Findings of a check, each with its place, collected and reported together.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace cassiaspan {

// One thing that is wrong, and where: a path such as workspaces[2].keys[0].sha256.
struct finding {
    std::string path;
    std::string text;
    auto operator<=>(const finding&) const = default;
};

using findings = std::vector<finding>;

// Renders findings one per line, each after the name of the file or source.
[[nodiscard]] std::string render(const findings& list, const std::string& source);

} // namespace cassiaspan
