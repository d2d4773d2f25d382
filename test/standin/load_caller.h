// A caller as the page for callers asks for: looks up the VMs, keeps connections, goes on to the next VM when
// a refusal says "not run".
#pragma once

#include "http_client.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace cassiaspan::standin {

// What to send.
struct load_plan {
    // Any VM's caller address.
    socket_address first_vm;
    std::string key;
    std::string method;
    std::string path;
    double requests_per_second = 0;
    seconds duration{};
    std::size_t threads = 0;
};

// What came back.
struct load_result {
    // Counts by outcome: "200", a refusal's reason, or "no answer".
    std::map<std::string, std::size_t> outcomes;
    std::vector<double> latencies_ms;
};

// Sends the load at an even rate, whether or not answers come.
[[nodiscard]] load_result run_load(const load_plan& plan, const clock& time);
[[nodiscard]] std::string render(load_result result);

// Returns the VMs in the order that `vm` tells, as addresses.
[[nodiscard]] std::vector<socket_address> look_up(const socket_address& vm, watchdog& guard,
                                                  const clock& time);

} // namespace cassiaspan::standin
