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
using electorate = std::vector<std::uint64_t>;

// What was known to hold `generation` at `asked`.
struct sighting {
    std::uint64_t generation = 0;
    instant asked;
    auto operator<=>(const sighting&) const = default;
};

// State of one VM.
struct licence_state {
    std::uint64_t self = 0;
    std::uint64_t generation = 0;
    // Since its start the VM has had a proof or a majority. Only synced VMs have a vote.
    bool synced = false;
    std::optional<sighting> store_proof;
    std::map<std::uint64_t, sighting> heard;
};

// Why a VM may or may not serve keyed work.
enum class licence_verdict { by_store, by_majority, not_synced, behind, no_proof };

// Returns a short fixed name of a verdict.
[[nodiscard]] std::string_view to_string(licence_verdict verdict);

// Takes in a confirmation by the store, asked for at `proof.asked`.
void note_store_proof(licence_state& state, sighting proof);

// Takes in the answer of a synced VM that holds `seen.generation`.
void note_member(licence_state& state, std::uint64_t member, sighting seen);

// Moves to a newer generation; an older one is ignored.
void adopt(licence_state& state, std::uint64_t generation);

// Judges the VM at `now`, for proofs younger than `freshness`, and notes when it has become synced.
[[nodiscard]] licence_verdict judge(licence_state& state, const std::vector<electorate>& lists,
                                    nanoseconds freshness, instant now);

// Returns whether the verdict allows keyed work.
[[nodiscard]] bool allows_keyed_work(licence_verdict verdict);

// Returns whether a strict majority of every list holds at least `generation`. Members in `ended` have left
// the platform's list for long enough and do not count. An empty list of lists is accepted.
[[nodiscard]] bool is_accepted(const licence_state& state, const std::vector<electorate>& lists,
                               const electorate& ended, std::uint64_t generation);

} // namespace cassiaspan
