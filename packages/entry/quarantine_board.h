// Suspected requests, shared by all VMs: told to the peers before the caller hears of the failure.
#pragma once

#include "node_state.h"
#include "peer_channel.h"
#include "quarantine.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace cassiaspan {

// May be used from any thread.
class quarantine_board {
public:
    quarantine_board(node_state& node_in, peer_caller& peers_in, const clock& clock_in)
        : node(node_in), peers(peers_in), time(clock_in) {}

    // Notes that a request is at a target, or has left it.
    void enter(const std::string& target, std::uint64_t fingerprint);
    void leave(const std::string& target, std::uint64_t fingerprint);
    // Notes that the target has died: suspects all requests there, and waits until the peers know.
    void note_death_at(const std::string& target);
    // Notes that a request was served; ends a suspicion of it everywhere.
    void note_served(std::uint64_t fingerprint);
    [[nodiscard]] bool is_refused(std::uint64_t fingerprint);
    // Returns whether another run of the request, besides this one, would be one too many while it is
    // suspected.
    [[nodiscard]] bool is_suspect(std::uint64_t fingerprint);
    // Takes in a peer's message.
    void note(const schema::Suspect& message);

private:
    void tell_peers(const schema::Suspect& message);

    node_state& node;
    peer_caller& peers;
    const clock& time;
    std::mutex mutex;
    quarantine state;
    std::map<std::string, std::multiset<std::uint64_t>> in_flight;
    std::uint64_t deaths = 0;
};

} // namespace cassiaspan
