// Keeps track of which services' targets this VM reaches (target_reach.h), from its own connections.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Records that the target accepted a connection or sent bytes. If all targets were out of reach for a second
// or more, and peers reach the service, its targets were up: what this VM has recorded against them since
// then is cleared, so that they are neither avoided nor paced as restarted ones.
void record_target_contact(node_core& core, const target_record& target);

// Records that no connection to the target could be opened, or that it fell silent.
void record_target_failure(node_core& core, const target_record& target);

// Opens connections to targets of services that are out of reach, so that the end of a partition is noticed
// without a request at stake; and while requests are in flight and targets fail or are silent, so that its
// beginning is noticed soon. Runs until the event loop ends.
asio::awaitable<void> probe_lost_targets(node_core& core);

} // namespace cassiaspan
