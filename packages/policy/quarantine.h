// Requests that were in flight when targets died: the second death quarantines them for a while.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <set>

namespace cassiaspan {

// Deaths after which a request is refused.
constexpr std::size_t deaths_before_quarantine = 2;
// How long a suspicion or a quarantine lasts after the latest death.
constexpr milliseconds quarantine_time{60'000};

// The deaths that one request was in flight at.
struct suspicion {
    std::set<std::uint64_t> deaths;
    instant until;
};

// Suspicions by the fingerprint of workspace, route and body.
struct quarantine {
    std::map<std::uint64_t, suspicion> suspicions;
};

// Notes that the request was in flight at the death named `death`; a death counts once. Returns whether it is
// new.
bool note_death(quarantine& state, std::uint64_t fingerprint, std::uint64_t death, instant now);

// Notes that the request was served since: it is not to blame.
void clear_suspicion(quarantine& state, std::uint64_t fingerprint);

// Returns whether a suspicion of the request is open.
[[nodiscard]] bool is_suspected(const quarantine& state, std::uint64_t fingerprint, instant now);

// Returns whether the request is to be refused.
[[nodiscard]] bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, instant now);

// Forgets what is over.
void expire_suspicions(quarantine& state, instant now);

} // namespace cassiaspan
