// Keeps the parts that regions serve of each service's objects in step with demand and room.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Brings all services' parts up to date; called every `interval`.
void update_region_shares(node_core& core, milliseconds interval);

} // namespace cassiaspan
