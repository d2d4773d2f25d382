#include "findings.h"

namespace cassiaspan {

std::string render(const findings& list, const std::string& source) {
    std::string text;
    for (const finding& entry : list) {
        text += source + ": " + entry.path + ": " + entry.text + "\n";
    }
    return text;
}

} // namespace cassiaspan
