// Answers the messages of other VMs, after the gate has checked them.
#pragma once

#include "budget_book.h"
#include "node_state.h"
#include "peer.pb.h"
#include "quarantine_board.h"
#include "record_home.h"

#include <functional>
#include <string>

namespace cassiaspan {

// What the answers are made from. `on_newer` is told the address of a peer that holds a newer generation.
struct peer_parts {
    node_state& node;
    budget_book& budgets;
    record_home& records;
    quarantine_board& quarantines;
    milliseconds loan{};
    std::function<void(const std::string&)> on_newer;
};

// Answers one message. Does not wait.
[[nodiscard]] schema::PeerReply answer_peer(const peer_parts& parts, const schema::PeerRequest& request);

} // namespace cassiaspan
