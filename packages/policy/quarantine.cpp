#include "quarantine.h"

namespace cassiaspan {

bool record_crash(quarantine& state, std::uint64_t fingerprint, std::uint64_t crash_id, instant now) {
    suspect_entry& entry = state.suspects[fingerprint];
    if (entry.expires_at <= now) {
        entry.crash_ids.clear();
    }
    entry.expires_at = now + quarantine_duration;
    return entry.crash_ids.insert(crash_id).second;
}

void remove_suspect(quarantine& state, std::uint64_t fingerprint) {
    state.suspects.erase(fingerprint);
}

bool is_suspected(const quarantine& state, std::uint64_t fingerprint, instant now) {
    const auto found = state.suspects.find(fingerprint);
    return found != state.suspects.end() && found->second.expires_at > now;
}

bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, instant now) {
    const auto found = state.suspects.find(fingerprint);
    return found != state.suspects.end() && found->second.expires_at > now &&
           found->second.crash_ids.size() >= crashes_before_quarantine;
}

void remove_expired_suspects(quarantine& state, instant now) {
    std::erase_if(state.suspects, [now](const auto& entry) { return entry.second.expires_at <= now; });
}

} // namespace cassiaspan
