// Whether a VM may serve keyed work: it must be able to prove that its generation is the current one.
//
// A proof is either a confirmation by the store, or fresh answers from a strict majority of every member list
// that is not settled. Ages count from the sending of the question, so clocks of two VMs need not agree.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cassiaspan {

// Incarnations of the members of one list.
using incarnation_list = std::vector<std::uint64_t>;

// What was known to hold `generation` at `asked`.
struct generation_report {
    std::uint64_t generation = 0;
    instant requested_at;
    auto operator<=>(const generation_report&) const = default;
};

// State of one VM.
struct freshness_state {
    std::uint64_t self = 0;
    std::uint64_t generation = 0;
    // Since its start the VM has had a proof or a majority. Only synced VMs have a vote.
    bool synced = false;
    std::optional<generation_report> store_proof;
    std::map<std::uint64_t, generation_report> member_reports;
};

// Why a VM may or may not serve keyed work.
enum class freshness_status {
    confirmed_by_store,
    confirmed_by_majority,
    not_synced,
    outdated,
    no_fresh_proof
};

// Returns a short fixed name of a verdict.
[[nodiscard]] std::string_view to_string(freshness_status verdict);

// Takes in a confirmation by the store, asked for at `proof.asked`.
void record_store_proof(freshness_state& state, generation_report proof);

// Takes in the answer of a synced VM that holds `seen.generation`.
void record_member_report(freshness_state& state, std::uint64_t member, generation_report report);

// Moves to a newer generation; an older one is ignored.
void advance_generation(freshness_state& state, std::uint64_t generation);

// Judges the VM at `now`, for proofs younger than `freshness`, and notes when it has become synced.
[[nodiscard]] freshness_status check_freshness(freshness_state& state,
                                               const std::vector<incarnation_list>& lists,
                                               nanoseconds max_age, instant now);

// Returns whether the verdict allows keyed work.
[[nodiscard]] bool allows_authenticated_requests(freshness_status verdict);

// Returns whether a strict majority of every list holds at least `generation`. Members in `ended` have left
// the platform's list for long enough and do not count. An empty list of lists is accepted.
[[nodiscard]] bool is_held_by_majorities(const freshness_state& state,
                                         const std::vector<incarnation_list>& lists,
                                         const incarnation_list& ended, std::uint64_t generation);

} // namespace cassiaspan
