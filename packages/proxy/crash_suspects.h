// Finds the requests that may crash targets, for the quarantine.
#pragma once

#include "node_core.h"
#include "retry_rules.h"

namespace cassiaspan {

// Remembers a request that failed at the target, and reports it as a crash suspect once the target is
// unreachable, which means that it crashed. It does not while this VM has reached no target since the request
// failed: then the VM's own links may have failed, and the targets have not.
void track_crash_suspect(node_core& core, std::uint64_t fingerprint, const target_record& target,
                         attempt_end outcome);

} // namespace cassiaspan
