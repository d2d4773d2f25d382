#include "findings.h"

namespace cassiaspan {

finding summarize(const findings& list) {
    finding summary = list.front();
    for (std::size_t i = 1; i < list.size(); ++i) {
        summary.text += "; " + list[i].path + ": " + list[i].text;
    }
    return summary;
}

std::string render(const findings& list, const std::string& source) {
    std::string text;
    for (const finding& entry : list) {
        text += source + ": " + entry.path + ": " + entry.text + "\n";
    }
    return text;
}

} // namespace cassiaspan
