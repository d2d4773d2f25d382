#include "node_settings.h"

namespace cassiaspan {

bool apply_reloaded_settings(node_settings& settings, const node_settings& loaded) {
    settings.seeds = loaded.seeds;
    settings.retries = loaded.retries;
    settings.shift_limits = loaded.shift_limits;
    settings.stop_grace = loaded.stop_grace;
    settings.max_lookup_ttl = loaded.max_lookup_ttl;
    settings.target_heartbeat = loaded.target_heartbeat;
    settings.target_drain_time = loaded.target_drain_time;
    settings.link_mbps = loaded.link_mbps;
    settings.cpu_millicores = loaded.cpu_millicores;
    settings.memory_bytes = loaded.memory_bytes;
    settings.max_open_files = loaded.max_open_files;
    return settings != loaded;
}

} // namespace cassiaspan
