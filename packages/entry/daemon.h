// One VM's daemon: all duties, put together and run until a planned stop.
#pragma once

#include "settings.pb.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace cassiaspan {

// How a run of the daemon ended.
enum class stop_result { clean, timed_out };

// Runs the daemon until `wait_for_stop` returns, then stops it gracefully. The error says why it could not
// start.
[[nodiscard]] tl::expected<stop_result, std::string> run_daemon(const schema::Settings& settings,
                                                                const std::function<void()>& wait_for_stop);

} // namespace cassiaspan
