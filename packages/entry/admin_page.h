// The admin listener: /healthz, /readyz, /metrics and /statusz.
#pragma once

#include "budget_book.h"
#include "node_state.h"
#include "service_metrics.h"
#include "target_registry.h"

#include <functional>
#include <string>

struct mg_connection;
struct mg_request_info;

namespace cassiaspan {

// What the pages show. `counts` fills in what only the daemon knows.
struct admin_parts {
    node_state& node;
    budget_book& budgets;
    target_registry& targets;
    service_metrics& metrics;
    const clock& time;
    std::function<void(schema::Status&)> counts;
};

// Answers one request of an operator and returns its status code.
int serve_admin(const admin_parts& parts, mg_connection* connection, const mg_request_info& info);

// Returns what /statusz shows.
[[nodiscard]] schema::Status make_status(const admin_parts& parts);

} // namespace cassiaspan
