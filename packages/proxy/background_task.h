// Tasks on the event loop. An exception that ends one is logged and affects no other.
#pragma once

#include "node_core.h"

#include <functional>
#include <string>

namespace cassiaspan {

// Starts the task. `name` names it in the log and must outlive it.
void spawn_task(node_core& core, const char* name, asio::awaitable<void> task);

// Creates a background task.
using task_factory = std::function<asio::awaitable<void>()>;

// Runs the task until it returns. If it ends with an exception, logs this and starts the task again after
// 100 ms: one unexpected error must not end gossip or the watch of the store for good. `name` names the task
// in the log.
asio::awaitable<void> run_background_task(node_core& core, std::string name, task_factory start);

} // namespace cassiaspan
