// Requests that were in flight when targets died: the second death quarantines them for a while.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <set>

namespace cassiaspan {

// Deaths after which a request is refused.
constexpr std::size_t crashes_before_quarantine = 2;
// How long a suspicion or a quarantine lasts after the latest death.
constexpr milliseconds quarantine_duration{60'000};

// The deaths that one request was in flight at.
struct suspect_entry {
    std::set<std::uint64_t> crash_ids;
    instant expires_at;
};

// Suspicions by the fingerprint of workspace, route and body.
struct quarantine {
    std::map<std::uint64_t, suspect_entry> suspects;
};

// Notes that the request was in flight at the death named `death`; a death counts once. Returns whether it is
// new.
bool record_crash(quarantine& state, std::uint64_t fingerprint, std::uint64_t crash_id, instant now);

// Notes that the request was served since: it is not to blame.
void remove_suspect(quarantine& state, std::uint64_t fingerprint);

// Returns whether a suspicion of the request is open.
[[nodiscard]] bool is_suspected(const quarantine& state, std::uint64_t fingerprint, instant now);

// Returns whether the request is to be refused.
[[nodiscard]] bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, instant now);

// Forgets what is over.
void remove_expired_suspects(quarantine& state, instant now);

} // namespace cassiaspan
