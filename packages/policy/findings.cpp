#include "findings.h"

namespace cassiaspan {

std::string render(const findings& list, const std::string& source) {
    std::string text;
    for (const finding& entry : list) {
        text += source + ": " + entry.place + ": " + entry.text + "\n";
    }
    return text;
}

} // namespace cassiaspan
