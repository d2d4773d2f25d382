#include "quarantine.h"

namespace cassiaspan {

bool note_death(quarantine& state, std::uint64_t fingerprint, std::uint64_t death, instant now) {
    suspicion& entry = state.suspicions[fingerprint];
    if (entry.until <= now) {
        entry.deaths.clear();
    }
    entry.until = now + quarantine_time;
    return entry.deaths.insert(death).second;
}

void clear_suspicion(quarantine& state, std::uint64_t fingerprint) {
    state.suspicions.erase(fingerprint);
}

bool is_suspected(const quarantine& state, std::uint64_t fingerprint, instant now) {
    const auto found = state.suspicions.find(fingerprint);
    return found != state.suspicions.end() && found->second.until > now;
}

bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, instant now) {
    const auto found = state.suspicions.find(fingerprint);
    return found != state.suspicions.end() && found->second.until > now &&
           found->second.deaths.size() >= deaths_before_quarantine;
}

void expire_suspicions(quarantine& state, instant now) {
    std::erase_if(state.suspicions, [now](const auto& entry) { return entry.second.until <= now; });
}

} // namespace cassiaspan
