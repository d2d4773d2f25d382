#include "record_home.h"

#include "address.h"
#include "members.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Bytes of records in one handover message.
constexpr std::size_t handover_batch_bytes = 512U << 10U;

bool is_self(const node_state& node, const schema::Member& member) {
    return member.incarnation() == node.self().incarnation();
}

std::uint64_t lists_generation_of(const std::shared_ptr<const generation_view>& generation) {
    return generation ? generation->head.lists_generation() : 0;
}

} // namespace

record_home::record_home(node_state& node_in, peer_caller& peers_in, const clock& clock_in)
    : node(node_in), peers(peers_in), time(clock_in) {}

std::optional<schema::ClaimReply> record_home::claim_at(const schema::Member& home,
                                                        const schema::Claim& message) {
    if (is_self(this->node, home)) {
        return this->answer(message);
    }
    const auto address = parse_address(home.peer_address());
    if (!address) {
        return std::nullopt;
    }
    schema::PeerRequest request;
    *request.mutable_claim() = message;
    const peer_result result = this->peers.call_and_wait(*address, home.incarnation(), std::move(request));
    return result && result->has_claim() ? std::optional(result->claim()) : std::nullopt;
}

bool record_home::finish_at(const schema::Member& home, const schema::Complete& message) {
    if (is_self(this->node, home)) {
        return this->answer(message).stored();
    }
    const auto address = parse_address(home.peer_address());
    if (!address) {
        return false;
    }
    schema::PeerRequest request;
    *request.mutable_complete() = message;
    const peer_result result = this->peers.call_and_wait(*address, home.incarnation(), std::move(request));
    return result && result->complete().stored();
}

claim_result record_home::claim_everywhere(const schema::IdempotencyRecord& record,
                                           const std::string& home_region) {
    const auto generation = this->node.current();
    if (!generation) {
        return {};
    }
    schema::Claim message;
    *message.mutable_record() = record;
    message.set_generation(lists_generation_of(generation));
    std::size_t granted = 0;
    // Always in the same order: the first home decides between attempts that race.
    for (const auto& home : record_homes(generation->head, record.workspace(), record.key(), home_region)) {
        // A home whose VM runs another incarnation by now has lost its records; the other one has them.
        if (this->node.is_replaced(home)) {
            continue;
        }
        const auto reply = this->claim_at(home, message);
        if (reply && reply->granted()) {
            ++granted;
            continue;
        }
        if (granted > 0) {
            this->finish_everywhere(record, home_region, true);
        }
        if (reply && reply->has_existing()) {
            return {claim_outcome::taken, reply->existing()};
        }
        return {};
    }
    // A single copy is enough only where there is a single VM.
    const bool enough = granted >= homes_per_record || (granted == 1 && generation->head.lists_size() == 1 &&
                                                        generation->head.lists(0).members_size() == 1);
    if (!enough && granted > 0) {
        this->finish_everywhere(record, home_region, true);
    }
    return {enough ? claim_outcome::granted : claim_outcome::unavailable, std::nullopt};
}

bool record_home::finish_everywhere(const schema::IdempotencyRecord& record, const std::string& home_region,
                                    bool release) {
    const auto generation = this->node.current();
    if (!generation) {
        return false;
    }
    schema::Complete message;
    *message.mutable_record() = record;
    message.set_release(release);
    bool everywhere = true;
    for (const auto& home : record_homes(generation->head, record.workspace(), record.key(), home_region)) {
        everywhere = this->finish_at(home, message) && everywhere;
    }
    return everywhere;
}

schema::ClaimReply record_home::answer(const schema::Claim& message) {
    schema::ClaimReply reply;
    if (message.generation() != lists_generation_of(this->node.current())) {
        reply.set_wrong_home(true);
        return reply;
    }
    const std::scoped_lock lock(this->mutex);
    return claim(this->table, message.record(), this->time.now());
}

schema::CompleteReply record_home::answer(const schema::Complete& message) {
    const std::scoped_lock lock(this->mutex);
    schema::CompleteReply reply;
    reply.set_stored(message.release() ? release(this->table, message.record())
                                       : complete(this->table, message.record(), this->time.now()));
    return reply;
}

schema::HandoverReply record_home::answer(const schema::Handover& message) {
    const std::scoped_lock lock(this->mutex);
    import_records(this->table, message, this->time.now());
    schema::HandoverReply reply;
    reply.set_stored(true);
    return reply;
}

bool record_home::hand_over(const generation_view& generation, bool pass_over_silent) {
    if (generation.head.lists_size() == 0) {
        return true;
    }
    bool everywhere = true;
    for (const auto& member : generation.head.lists(0).members()) {
        const bool arrived = is_self(this->node, member) || this->node.is_replaced(member) ||
                             this->hand_over_to(member, generation);
        everywhere = everywhere && (arrived || pass_over_silent);
    }
    return everywhere;
}

bool record_home::hand_over_to(const schema::Member& home, const generation_view& generation) {
    const auto belongs = [&](const schema::IdempotencyRecord& record) {
        const auto& workspaces = generation.configuration->workspaces();
        const auto workspace =
            std::find_if(workspaces.begin(), workspaces.end(), [&](const workspace_config& candidate) {
                return candidate.name == record.workspace();
            });
        const std::string region = workspace == workspaces.end() ? "" : workspace->home_region;
        const auto homes = record_homes(generation.head.lists(0), record.workspace(), record.key(), region);
        return std::any_of(homes.begin(), homes.end(), [&](const schema::Member& candidate) {
            return candidate.incarnation() == home.incarnation();
        });
    };
    std::vector<schema::IdempotencyRecord> records;
    {
        const std::scoped_lock lock(this->mutex);
        records = export_records(this->table, belongs, this->time.now());
    }
    const auto address = parse_address(home.peer_address());
    while (!records.empty()) {
        schema::PeerRequest request;
        request.mutable_handover()->set_generation(generation.head.lists_generation());
        std::size_t bytes = 0;
        while (!records.empty() && bytes < handover_batch_bytes) {
            bytes += records.back().ByteSizeLong();
            *request.mutable_handover()->add_records() = std::move(records.back());
            records.pop_back();
        }
        const peer_result result =
            address ? this->peers.call_and_wait(*address, home.incarnation(), std::move(request))
                    : tl::make_unexpected(peer_failure::unreachable);
        if (!result || !result->handover().stored()) {
            return false;
        }
    }
    return true;
}

void record_home::expire() {
    const std::scoped_lock lock(this->mutex);
    expire_records(this->table, this->time.now());
}

std::size_t record_home::size() const {
    const std::scoped_lock lock(this->mutex);
    return this->table.records.size();
}

} // namespace cassiaspan
