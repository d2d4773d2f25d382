// Quarantine of requests that may crash targets. A request that was in flight at a target that crashed
// becomes a suspect; after the second crash it is refused for a limited time.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <set>

namespace cassiaspan {

// Number of distinct crashes after which a request is refused.
constexpr std::size_t crashes_before_quarantine = 2;
// How long a request stays a suspect or quarantined after its latest crash.
constexpr milliseconds quarantine_duration{60'000};

// The crashes during which one request was in flight at the crashed target.
struct suspect_entry {
    std::set<std::uint64_t> crash_ids;
    instant expires_at;
};

// Suspects by fingerprint, a hash of workspace, route and body.
struct quarantine {
    std::map<std::uint64_t, suspect_entry> suspects;
};

// Records that the request was in flight at the crash with ID `crash_id`. Each crash counts once per request;
// returns whether it is new for this request.
bool record_crash(quarantine& state, std::uint64_t fingerprint, std::uint64_t crash_id, instant now);

// Removes a request that has since been served successfully, so it is not the cause of the crashes.
void remove_suspect(quarantine& state, std::uint64_t fingerprint);

// Returns whether the request is a suspect that has not expired.
[[nodiscard]] bool is_suspected(const quarantine& state, std::uint64_t fingerprint, instant now);

// Returns whether the request must be refused.
[[nodiscard]] bool is_quarantined(const quarantine& state, std::uint64_t fingerprint, instant now);

// Removes the suspects that have expired.
void remove_expired_suspects(quarantine& state, instant now);

} // namespace cassiaspan
