// Keeps track of which services' targets this VM reaches (target_reach.h), from its own connections.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Records that the target accepted a connection or sent bytes. If its service was out of reach and peers
// reached it meanwhile, the service's targets were up, so the failures that this VM saw are no longer held
// against them.
void record_target_contact(node_core& core, const target_record& target);

// Records that no connection to the target could be opened, or that it fell silent.
void record_target_failure(node_core& core, const target_record& target);

// Opens connections to targets of services that are out of reach, so that the end of a partition is noticed
// without a request at stake. Runs until the event loop ends.
asio::awaitable<void> probe_lost_targets(node_core& core);

} // namespace cassiaspan
