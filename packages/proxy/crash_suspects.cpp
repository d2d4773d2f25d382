#include "crash_suspects.h"

#include "stable_hash.h"

namespace cassiaspan {

namespace {

// A failed attempt counts as a crash of the target if the target is unreachable within this time afterwards.
constexpr milliseconds crash_confirmation_time{2000};

} // namespace

void track_crash_suspect(node_core& core, std::uint64_t fingerprint, const target_record& target,
                         attempt_end outcome) {
    const instant now = now_of(core);
    auto& suspects = core.failed_requests_by_target[target.info.id];
    std::erase_if(suspects,
                  [now](const auto& suspect) { return now - suspect.second > crash_confirmation_time; });
    if (outcome == attempt_end::failed) {
        suspects.emplace_back(fingerprint, now);
    }
    if (outcome != attempt_end::unreachable) {
        return;
    }
    std::erase_if(suspects, [&](const auto& suspect) {
        const auto& [suspected, failed_at] = suspect;
        if (core.reach.last_contact <= failed_at) {
            return false;
        }
        const std::uint64_t crash_id =
            stable_hash(target.info.id, static_cast<std::uint64_t>(target.info.started_ms));
        record_crash(core.crash_quarantine, suspected, crash_id, now);
        core.crash_reports[{suspected, crash_id}] = now + crash_report_lifetime;
        return true;
    });
}

} // namespace cassiaspan
