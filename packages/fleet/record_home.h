// Idempotency records of this VM, as a home of them, and claims of records at their homes, as an entry VM.
//
// Both homes hold a claim before the request is dispatched. The paper (Big Bunny, "How Replication Works")
// copies after answering instead; what that would lose is measured in docs/PROOFS.md.
#pragma once

#include "idempotency.h"
#include "node_state.h"
#include "peer_channel.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiaspan {

// How a claim ended.
enum class claim_outcome {
    granted,
    // Another attempt holds the claim; its record is in claim_result::existing.
    taken,
    // Not every home could be asked; nothing was dispatched.
    unavailable
};

// Result of a claim.
struct claim_result {
    claim_outcome outcome = claim_outcome::unavailable;
    std::optional<schema::IdempotencyRecord> existing;
};

// May be used from any thread.
class record_home {
public:
    record_home(node_state& node_in, peer_caller& peers_in, const clock& clock_in);

    // Claims the record at all its homes, waiting for their answers.
    [[nodiscard]] claim_result claim_everywhere(const schema::IdempotencyRecord& record,
                                                const std::string& home_region);
    // Stores the outcome at all homes, or releases the claim of an attempt that was certainly not run.
    // Returns whether every home has it.
    bool finish_everywhere(const schema::IdempotencyRecord& record, const std::string& home_region,
                           bool release);

    // Answers peers.
    [[nodiscard]] schema::ClaimReply answer(const schema::Claim& message);
    [[nodiscard]] schema::CompleteReply answer(const schema::Complete& message);
    [[nodiscard]] schema::HandoverReply answer(const schema::Handover& message);

    // Copies records to the homes that the newest member list gives them; returns whether all have arrived.
    // Homes that run another incarnation by now are passed over, and with `pass_over_silent` those that do
    // not answer: the other home has the copy then, and a claim needs both.
    [[nodiscard]] bool hand_over(const generation_view& generation, bool pass_over_silent);
    // Forgets what is over.
    void expire();
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] std::optional<schema::ClaimReply> claim_at(const schema::Member& home,
                                                             const schema::Claim& message);
    [[nodiscard]] bool finish_at(const schema::Member& home, const schema::Complete& message);
    [[nodiscard]] bool hand_over_to(const schema::Member& home, const generation_view& generation);

    node_state& node;
    peer_caller& peers;
    const clock& time;
    mutable std::mutex mutex;
    record_table table;
};

} // namespace cassiaspan
