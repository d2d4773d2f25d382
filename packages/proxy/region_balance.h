// Adjusts the fraction of each service's affinity keys that each region serves to demand and capacity.
#pragma once

#include "node_core.h"

namespace cassiaspan {

// Updates the shares of all services by one step. `interval` is the time between calls and scales the step.
void update_region_shares(node_core& core, milliseconds interval);

} // namespace cassiaspan
