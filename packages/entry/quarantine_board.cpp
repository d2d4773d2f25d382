#include "quarantine_board.h"

#include "address.h"

#include <future>
#include <memory>

namespace cassiaspan {

void quarantine_board::enter(const std::string& target, std::uint64_t fingerprint) {
    const std::scoped_lock lock(this->mutex);
    this->in_flight[target].insert(fingerprint);
}

void quarantine_board::leave(const std::string& target, std::uint64_t fingerprint) {
    const std::scoped_lock lock(this->mutex);
    auto& there = this->in_flight[target];
    const auto found = there.find(fingerprint);
    if (found != there.end()) {
        there.erase(found);
    }
}

void quarantine_board::note_death_at(const std::string& target) {
    schema::Suspect message;
    {
        const std::scoped_lock lock(this->mutex);
        // The crash ID is unique in the fleet: the incarnation is random, and each VM counts for itself.
        message.set_death(this->node.self().incarnation() + ++this->deaths);
        for (const std::uint64_t fingerprint : this->in_flight[target]) {
            message.add_fingerprints(fingerprint);
        }
    }
    this->note(message);
    this->tell_peers(message);
}

void quarantine_board::note_served(std::uint64_t fingerprint) {
    {
        const std::scoped_lock lock(this->mutex);
        if (!is_suspected(this->state, fingerprint, this->time.now())) {
            return;
        }
        remove_suspect(this->state, fingerprint);
    }
    schema::Suspect message;
    message.add_fingerprints(fingerprint);
    message.set_cleared(true);
    this->tell_peers(message);
}

bool quarantine_board::is_refused(std::uint64_t fingerprint) {
    const std::scoped_lock lock(this->mutex);
    return is_quarantined(this->state, fingerprint, this->time.now());
}

bool quarantine_board::is_suspect(std::uint64_t fingerprint) {
    const std::scoped_lock lock(this->mutex);
    return is_suspected(this->state, fingerprint, this->time.now());
}

void quarantine_board::note(const schema::Suspect& message) {
    const std::scoped_lock lock(this->mutex);
    const instant now = this->time.now();
    remove_expired_suspects(this->state, now);
    for (const std::uint64_t fingerprint : message.fingerprints()) {
        if (message.cleared()) {
            remove_suspect(this->state, fingerprint);
        } else {
            record_crash(this->state, fingerprint, message.death(), now);
        }
    }
}

void quarantine_board::tell_peers(const schema::Suspect& message) {
    std::vector<std::future<void>> answers;
    for (const peer_knowledge& peer : this->node.peers()) {
        const auto address = parse_address(peer.member.peer_address());
        if (!address || this->node.incarnation_at(peer.member.peer_address()) != peer.member.incarnation()) {
            continue;
        }
        auto promise = std::make_shared<std::promise<void>>();
        answers.push_back(promise->get_future());
        schema::PeerRequest request;
        *request.mutable_suspect() = message;
        this->peers.call(*address, peer.member.incarnation(), std::move(request),
                         [promise](const peer_result& /*result*/) { promise->set_value(); });
    }
    for (auto& answer : answers) {
        answer.wait();
    }
}

} // namespace cassiaspan
