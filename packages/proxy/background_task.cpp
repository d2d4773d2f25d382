#include "background_task.h"

namespace cassiaspan {

namespace {

constexpr milliseconds restart_delay{100};

} // namespace

void spawn_task(node_core& core, const char* name, asio::awaitable<void> task) {
    asio::co_spawn(core.context, std::move(task), [&core, name](const std::exception_ptr& exception) {
        if (exception) {
            log_exception(core, name, exception);
        }
    });
}

asio::awaitable<void> run_background_task(node_core& core, std::string name, task_factory start) {
    for (;;) {
        std::exception_ptr exception;
        try {
            co_await start();
        } catch (...) {
            exception = std::current_exception();
        }
        if (!exception) {
            co_return;
        }
        log_exception(core, name, exception);
        co_await sleep_for(core.context, restart_delay);
    }
}

} // namespace cassiaspan
