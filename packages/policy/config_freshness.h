// Decides whether a VM may serve authenticated requests (those with an API key). It may do so only while it
// has a recent proof that its configuration generation is the current one. The wire and the metrics call such
// a VM "licensed".
//
// A proof is either a confirmation from the store, or recent reports from a strict majority of every
// unsettled member list. The age of a proof is measured from when the VM sent the request, on the VM's own
// clock, so the clocks of different VMs need not be synchronised.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cassiaspan {

// Incarnation numbers of VMs, such as the members of one list.
using incarnation_list = std::vector<std::uint64_t>;

// The store, or a member, held at least `generation` when it answered a request sent at `requested_at`.
struct generation_report {
    std::uint64_t generation = 0;
    instant requested_at;
    auto operator<=>(const generation_report&) const = default;
};

// What one VM knows about the freshness of its own configuration.
struct freshness_state {
    // Incarnation of this VM.
    std::uint64_t self = 0;
    // Generation that this VM has adopted; 0 for none.
    std::uint64_t generation = 0;
    // Set by the first proof from the store or from majorities since the VM started. Only synced VMs count
    // towards a majority.
    bool synced = false;
    // Latest confirmation from the store.
    std::optional<generation_report> store_proof;
    // Latest report of each member, by incarnation.
    std::map<std::uint64_t, generation_report> member_reports;
};

// Result of the freshness check: why a VM may or may not serve authenticated requests.
enum class freshness_status {
    confirmed_by_store,
    confirmed_by_majority,
    not_synced,
    outdated,
    no_fresh_proof
};

// Returns the text that the status page shows as the licence reason. Operators match these texts.
[[nodiscard]] std::string_view to_string(freshness_status status);

// Records a confirmation from the store. A proof whose request was sent earlier than that of the recorded one
// is ignored. The recorded generation never decreases.
void record_store_proof(freshness_state& state, generation_report proof);

// Records the report of a synced member. Keeps the highest generation and the latest request time seen.
void record_member_report(freshness_state& state, std::uint64_t member, generation_report report);

// Sets this VM's generation if the new one is higher; ignores it otherwise.
void advance_generation(freshness_state& state, std::uint64_t generation);

// Checks at `now` whether this VM has a proof younger than `max_age`. A newer known generation takes
// precedence and yields `outdated`. Sets `state.synced` when there is a proof.
[[nodiscard]] freshness_status check_freshness(freshness_state& state,
                                               const std::vector<incarnation_list>& lists,
                                               nanoseconds max_age, instant now);

// Returns whether a VM with this status may serve authenticated requests.
[[nodiscard]] bool allows_authenticated_requests(freshness_status status);

// Returns whether a strict majority of every list is known to hold at least `generation`, whatever the age of
// the reports. Members in `ended` have been absent from the platform's VM list for long enough to be counted
// neither as voters nor as votes. Returns true if there are no lists, or if a list has only ended members.
[[nodiscard]] bool is_held_by_majorities(const freshness_state& state,
                                         const std::vector<incarnation_list>& lists,
                                         const incarnation_list& ended, std::uint64_t generation);

} // namespace cassiaspan
